package org.rattanplank.gateway;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

import io.netty.util.NetUtil;

/** Parses addresses that other processes have written. Stateless and thread safe. */
public final class SocketAddresses {
    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an address of the form IP:PORT. Host names are rejected, as resolving them would block the event loop.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text is no IP address with a port from 1 to 65535
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !isIpAddress(text.substring(0, colon))) {
            throw new IllegalArgumentException("the address has no IP address and port");
        }
        String portText = text.substring(colon + 1);
        int port = PORT.matcher(portText).matches() ? Integer.parseInt(portText) : 0;
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("the address has a port that is not between 1 and " + MAX_PORT);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    private static boolean isIpAddress(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }
}
