package org.rattanplank.core.gateway;

import java.util.Locale;

import io.vavr.control.Option;

/** A decision mechanism of the gateway that can be switched off to determine its value. Immutable and thread safe. */
public enum Mechanism {
    /** Requests that are expected to be late and would also wait are rejected at once. */
    REFUSE_LATE,
    /** Requests are forwarded to other regions when this host's region is slow. */
    FORWARD,
    /** Requests that failed and may run again are retried. */
    REPEAT,
    /** Attempts at unresponsive targets are abandoned before a request's time is up. */
    LEAVE_SILENT,
    /** Targets that fail are ejected for a while. */
    LEAVE_OUT_FAILING,
    /** Rendezvous hashing assigns each shared prompt part to one engine for all hosts of a region. */
    KEEPER,
    /** Prompt parts that would have to be recomputed count against an engine. */
    READ_AGAIN,
    /** Prompt parts that another engine of the region has cached are transferred from there. */
    COPY_PARTS,
    /** Prompt parts that an engine lacks are transferred from an engine of another region. */
    COPY_FROM_REGIONS,
    /** Long streams go to engines that end them in time. */
    END_IN_TIME,
    /** Prompts avoid engines at which they would make streams end too late. */
    SPARE_STREAMS,
    /** The wait for a slot and KV cache memory is part of an engine's estimate. */
    ROOM,
    /** The work of the region's other hosts is part of a target's load. */
    OTHERS_WORK,
    /** The ranks of routes distinguish requests, here and at targets. */
    RANK,
    /** Streams that must not run again have a backup at a second engine, where they continue after a failure. */
    BACK_UP_STREAMS,
    /** Requests that arrive before a configuration is known wait for it briefly. */
    AWAIT_CONFIGURATION,
    /** Client accounts are kept within their allowances. */
    ALLOWANCES;

    /**
     * Returns the name in settings.
     *
     * @return its name in lower case, with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a mechanism by its name in settings.
     *
     * @param label the name
     * @return the mechanism, or none of that name
     */
    public static Option<Mechanism> of(String label) {
        for (Mechanism each : values()) {
            if (each.label().equals(label)) {
                return Option.some(each);
            }
        }
        return Option.none();
    }
}
