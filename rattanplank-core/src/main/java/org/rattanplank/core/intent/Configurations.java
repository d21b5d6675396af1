package org.rattanplank.core.intent;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;

import org.rattanplank.core.NodeIdentity;
import org.rattanplank.core.store.StoreCommand;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreReply;
import org.rattanplank.schema.message.ControlMessage;

/**
 * Learns each new generation of the configuration and passes it on.
 *
 * <p>Invariant: the generation in force never falls. Thread safe; one lock guards all state, and no other lock is taken
 * while it is held.
 */
public final class Configurations {
    /** The store's key of the newest generation. */
    public static final String KEY = "rattanplank/configuration";

    private static final long READ_EVERY_MILLIS = 500;

    private final ReentrantLock lock = new ReentrantLock();
    private Configuration current = Configuration.empty();
    private long nextCallId = 1;
    private long nextReadMillis;

    private Configurations() {}

    /**
     * Makes the configuration of a host that has learned none.
     *
     * @param self the host
     * @return the configuration's keeper
     */
    public static Configurations of(NodeIdentity self) {
        return new Configurations();
    }

    /**
     * The configuration in force.
     *
     * @return the newest that was learned
     */
    public Configuration current() {
        lock.lock();
        try {
            return current;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes the end of a call to the store.
     *
     * @param callId the call
     * @param reply its end
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> storeReplied(long callId, StoreReply reply, long nowMillis) {
        lock.lock();
        try {
            List<ConfigurationStep> steps = new ArrayList<>();
            if (reply instanceof StoreReply.Found found) {
                found.entry().forEach(entry -> learn(entry.value(), steps));
            }
            return steps;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes changes of watched keys.
     *
     * @param entries the entries that were written
     * @param revision the store's revision after them
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> storeChanged(List<StoreEntry> entries, long revision, long nowMillis) {
        return List.of();
    }

    /**
     * Takes note that a watch broke.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> watchBroken(long nowMillis) {
        return List.of();
    }

    /**
     * Takes a message of another host.
     *
     * @param host the other host
     * @param message the message
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> receive(String host, ControlMessage message, long nowMillis) {
        return List.of();
    }

    /**
     * Takes note of the generation in force at another host.
     *
     * @param host the other host
     * @param generation its generation
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> heard(String host, long generation, long nowMillis) {
        return List.of();
    }

    /**
     * Lets time pass.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ConfigurationStep> tick(long nowMillis) {
        lock.lock();
        try {
            if (nowMillis < nextReadMillis) {
                return List.of();
            }
            nextReadMillis = nowMillis + READ_EVERY_MILLIS;
            return List.of(new ConfigurationStep.CallStore(nextCallId++, new StoreCommand.Get(KEY)));
        } finally {
            lock.unlock();
        }
    }

    private void learn(String document, List<ConfigurationStep> steps) {
        Documents.read(document).forEach(read -> {
            if (read.generation() > current.generation()) {
                current = read;
                steps.add(new ConfigurationStep.InForce(read));
            }
        });
    }
}
