/**
 * The bytes of version 3 of the PostgreSQL protocol: cuts a stream into messages, decodes each once into a small typed value,
 * and encodes each that is written once. Nothing here touches a socket, holds state of a connection beyond bytes that are not
 * decoded yet, allocates memory for a length that has not been checked, or throws at what it reads.
 */
package ploverdale.net.postgres;
