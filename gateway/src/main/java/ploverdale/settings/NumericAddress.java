package ploverdale.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses an IP address with a port. Host names are rejected, so that nothing is ever looked up. */
final class NumericAddress {
    /** Describes the valid form in error messages. */
    static final String EXPECTED_FORM = "an IP address and a port";

    private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:.]+\\]");
    private static final int MAX_PORT = 65535;

    private NumericAddress() {}

    /** Returns the address, or null if the text is not an IP address with a port. */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        String host = text.substring(0, colon);
        if (!IPV4.matcher(host).matches() && !IPV6.matcher(host).matches()) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                return null;
            }
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException notAnAddress) {
            return null;
        }
    }
}
