package org.rattanplank.bench.process;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A process that a test or a measurement started, and the signals that it may send to it.
 *
 * <p>Invariant: signals go to this process only, by its own id. Thread safe.
 */
public final class Child implements AutoCloseable {
    private static final List<String> JAVA_FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m", "-XX:CICompilerCount=1");
    private static final long READY_MILLIS = 60_000;
    private static final long END_MILLIS = 30_000;

    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    // A measurement that is ended from outside would leave its processes behind, which hold ports and memory; they
    // would
    // show as Java processes without a parent.
    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final String name;
    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private final CountDownLatch ready = new CountDownLatch(1);
    private final String readyPrefix;

    private Child(String name, Process process, String readyPrefix) {
        this.name = name;
        this.process = process;
        this.readyPrefix = readyPrefix;
    }

    /**
     * Starts a Java process with this process's class path.
     *
     * @param name the name, for messages and its log
     * @param readyPrefix how the line begins that says that it is ready
     * @param log where its complaints go
     * @param mainClass its main class
     * @param args its arguments
     * @return the process, which may not be ready yet
     */
    public static Child start(String name, String readyPrefix, File log, String mainClass, List<String> args) {
        return start(name, readyPrefix, log, Map.of(), mainClass, args);
    }

    /**
     * Starts a Java process with this process's class path and further variables.
     *
     * @param name the name, for messages and its log
     * @param readyPrefix how the line begins that says that it is ready
     * @param log where its complaints go
     * @param variables variables of its environment
     * @param mainClass its main class
     * @param args its arguments
     * @return the process, which may not be ready yet
     */
    public static Child start(
            String name,
            String readyPrefix,
            File log,
            Map<String, String> variables,
            String mainClass,
            List<String> args) {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(JAVA_FLAGS);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(args);
        try {
            ProcessBuilder builder = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().putAll(variables);
            Process process = builder.start();
            STARTED.add(process);
            process.onExit().thenAccept(STARTED::remove);
            Child child = new Child(name, process, readyPrefix);
            Thread reader = new Thread(child::read, "read-" + name);
            reader.setDaemon(true);
            reader.start();
            return child;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Waits until the process has said that it is ready.
     *
     * @return the words of its ready line that have the form NAME=VALUE
     */
    public Map<String, String> awaitReady() {
        try {
            if (!ready.await(READY_MILLIS, TimeUnit.MILLISECONDS) || !process.isAlive()) {
                throw new IllegalStateException(name + " did not get ready");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for " + name, e);
        }
        return words(lines().stream()
                .filter(line -> line.startsWith(readyPrefix))
                .findFirst()
                .orElseThrow());
    }

    /**
     * The lines that the process has printed so far.
     *
     * @return the lines
     */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /**
     * Tells whether the process runs or is frozen.
     *
     * @return false once it has ended
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * The processor time that the process has used.
     *
     * @return the time, zero if the platform does not tell
     */
    public Duration cpuTime() {
        return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Asks the process to stop gracefully. */
    public void terminate() {
        signal("TERM");
    }

    /** Stops the process on the spot, as when a host loses power. */
    public void kill() {
        process.destroyForcibly();
        awaitEnd();
    }

    /** Freezes the process; its connections stay open. */
    public void freeze() {
        signal("STOP");
    }

    /** Lets a frozen process go on. */
    public void resume() {
        signal("CONT");
    }

    /**
     * Waits until the process has ended.
     *
     * @return its exit code
     */
    public int awaitEnd() {
        try {
            if (!process.waitFor(END_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(name + " did not end");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the end of " + name, e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    static Map<String, String> words(String line) {
        Map<String, String> words = new LinkedHashMap<>();
        for (String word : line.split(" ")) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                words.put(word.substring(0, equals), word.substring(equals + 1));
            }
        }
        return words;
    }

    private void read() {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (lines) {
                    lines.add(line);
                }
                if (line.startsWith(readyPrefix)) {
                    ready.countDown();
                }
            }
        } catch (IOException e) {
            // The pipe breaks when the process is killed; what it printed before is kept.
        } finally {
            ready.countDown();
        }
    }

    private void signal(String signal) {
        try {
            int code = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (code != 0 && process.isAlive()) {
                throw new IllegalStateException("cannot send " + signal + " to " + name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while sending " + signal + " to " + name, e);
        }
    }
}
