package org.rattanplank.core.request;

import io.vavr.control.Option;

/** Urgency of a request; the lowest class is shed first. */
public enum WorkClass {
    /** A person waits for it: a part query, a booking, a quote. */
    INTERACTIVE(0),
    /** A person reads it later: a long draft. */
    DRAFT(5),
    /** Nobody waits for it: tags of shift notes. */
    BACKGROUND(9);

    private final int enginePriority;

    WorkClass(int enginePriority) {
        this.enginePriority = enginePriority;
    }

    /**
     * Returns the class with the given lower-case name.
     *
     * @param name the name, such as {@code draft}
     * @return the class, or none if no class has this name
     */
    public static Option<WorkClass> of(String name) {
        for (WorkClass workClass : values()) {
            if (workClass.label().equals(name)) {
                return Option.some(workClass);
            }
        }
        return Option.none();
    }

    /**
     * Returns the name in lower case, as callers and messages use it.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * Returns the scheduling priority for engines; a lower number runs first.
     *
     * @return the priority
     */
    public int enginePriority() {
        return enginePriority;
    }
}
