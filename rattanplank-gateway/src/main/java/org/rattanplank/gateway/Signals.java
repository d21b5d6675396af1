package org.rattanplank.gateway;

import java.lang.reflect.Proxy;

import io.vavr.control.Try;
import org.tinylog.Logger;

/**
 * Hears the signals that a process is sent. Stateless and thread safe.
 *
 * <p>A shutdown hook hears only the first signal, and cannot choose the exit code. The JDK's own class for signals is
 * called by name, since the compiler's warning of it cannot be suppressed.
 */
public final class Signals {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private Signals() {}

    /**
     * Hears a signal.
     *
     * @param name its name without SIG
     * @param received run at each one, on a thread of its own
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
                .onFailure(error -> Logger.error(error, "the signal {} cannot be heard", name));
    }
}
