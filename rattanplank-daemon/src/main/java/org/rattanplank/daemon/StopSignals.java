package org.rattanplank.daemon;

import java.lang.reflect.Proxy;

import io.vavr.control.Try;
import org.tinylog.Logger;

/**
 * Hears the signals that ask a process to stop. Stateless and thread safe.
 *
 * <p>A shutdown hook hears only the first signal, and cannot choose the exit code. The JDK's own class for signals is
 * called by name, since the compiler's warning of it cannot be suppressed.
 */
final class StopSignals {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private StopSignals() {}

    static void listen(Runnable received) {
        listen("TERM", received);
        listen("INT", received);
    }

    private static void listen(String name, Runnable received) {
        Try.run(() -> {
                    Class<?> signal = Class.forName(SIGNAL);
                    Class<?> handler = Class.forName(HANDLER);
                    Object proxy = Proxy.newProxyInstance(
                            StopSignals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    received.run();
                                }
                                return null;
                            });
                    Object named = signal.getConstructor(String.class).newInstance(name);
                    signal.getMethod("handle", signal, handler).invoke(null, named, proxy);
                })
                .onFailure(error -> Logger.error(error, "daemon: the signal {} cannot be heard", name));
    }
}
