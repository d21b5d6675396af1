package org.rattanplank.standins.demo;

import java.util.List;

import com.beust.jcommander.converters.IParameterSplitter;

/** Leaves the commas of a flag's value alone. Stateless and thread safe. */
public final class NoSplitter implements IParameterSplitter {
    @Override
    public List<String> split(String value) {
        return List.of(value);
    }
}
