package org.rattanplank.gateway;

import java.lang.reflect.Proxy;

import io.vavr.control.Try;
import org.tinylog.Logger;

/**
 * Installs handlers for the signals of a process. Stateless and thread safe.
 *
 * <p>A shutdown hook handles only the first signal and cannot choose the exit code. The JDK's signal class is accessed
 * by reflection, since the compiler warning about it cannot be suppressed.
 */
public final class Signals {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private Signals() {}

    /**
     * Installs a handler for a signal.
     *
     * @param name the name without SIG
     * @param received run at each signal, on a separate thread
     */
    public static void listen(String name, Runnable received) {
        Try.run(() -> {
                    Class<?> signal = Class.forName(SIGNAL);
                    Class<?> handler = Class.forName(HANDLER);
                    Object proxy = Proxy.newProxyInstance(
                            Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    received.run();
                                }
                                return null;
                            });
                    Object named = signal.getConstructor(String.class).newInstance(name);
                    signal.getMethod("handle", signal, handler).invoke(null, named, proxy);
                })
                .onFailure(error -> Logger.error(error, "cannot install a handler for signal {}", name));
    }
}
