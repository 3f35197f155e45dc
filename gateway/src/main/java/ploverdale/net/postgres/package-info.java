/**
 * Codec of version 3 of the PostgreSQL protocol: splits a byte stream into messages, decodes each of them once into a
 * typed value, and encodes outgoing messages. Nothing here uses a socket, keeps connection state other than the startup
 * phase and bytes that have not been decoded yet, allocates memory for an unchecked length, or throws on malformed
 * input.
 */
package ploverdale.net.postgres;
