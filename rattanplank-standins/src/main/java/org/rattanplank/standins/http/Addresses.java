package org.rattanplank.standins.http;

import java.net.InetSocketAddress;

/** Formats and parses addresses as {@code IP:PORT}. Stateless and thread safe. */
public final class Addresses {
    private Addresses() {}

    /**
     * Formats an address.
     *
     * @param address the address
     * @return the IP address and the port, separated by a colon
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Parses an address.
     *
     * @param text the IP address and the port, separated by a colon
     * @return the address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("invalid address, expected IP:PORT: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
