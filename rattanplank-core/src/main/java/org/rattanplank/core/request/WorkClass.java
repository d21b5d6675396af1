package org.rattanplank.core.request;

import io.vavr.control.Option;

/** How urgent a request is; the lowest class is shed first. */
public enum WorkClass {
    /** A person waits for it: a part query, a booking, a quote. */
    INTERACTIVE(0),
    /** A person will read it later: a long draft. */
    DRAFT(5),
    /** Nobody waits for it: tags of shift notes. */
    BACKGROUND(9);

    private final int enginePriority;

    WorkClass(int enginePriority) {
        this.enginePriority = enginePriority;
    }

    /**
     * Finds a class by its name in lower case.
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
     * The name in lower case, as callers and messages write it.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * The priority that engines honour; a lower number runs first.
     *
     * @return the priority
     */
    public int enginePriority() {
        return enginePriority;
    }
}
