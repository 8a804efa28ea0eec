package kitemux.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import kitemux.config.ConfigException;

/** Addresses as configuration and lists write them. */
public final class Addresses {
    private Addresses() {}

    /**
     * An IP address with a port. There are no host names: looking one up would block.
     *
     * @param field its name, for the message
     * @throws ConfigException if it is anything else
     */
    public static InetSocketAddress parse(String field, String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (ip != null) {
                return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Named below.
        }
        throw new ConfigException(field, "is not address:port: " + text);
    }
}
