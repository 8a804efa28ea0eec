package kitemux.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import kitemux.config.ConfigException;

/** Parses socket addresses as written in configuration and server lists. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an IP address with a port. Host names are not supported, because resolving them would block.
     *
     * @param field name of the field, for the error message
     * @throws ConfigException if the text is not an IP address with a port
     */
    public static InetSocketAddress parse(String field, String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        byte[] ipBytes = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (ipBytes != null) {
                return new InetSocketAddress(
                        InetAddress.getByAddress(ipBytes), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Reported below.
        }
        throw new ConfigException(field, "is not address:port: " + text);
    }

    /** Formats an address so that {@link #parse} reads it. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
