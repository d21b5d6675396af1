package org.rattanplank.standins.http;

import java.net.InetSocketAddress;

/** Writes and reads addresses as {@code IP:PORT}. Stateless and thread safe. */
public final class Addresses {
    private Addresses() {}

    /**
     * Writes an address.
     *
     * @param address the address
     * @return the IP number and the port
     */
    public static String write(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Reads an address.
     *
     * @param text the IP number and the port
     * @return the address
     */
    public static InetSocketAddress read(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("an address is IP:PORT, not " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
