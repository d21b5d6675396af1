package org.rattanplank.standins.demo;

import java.util.List;

import com.beust.jcommander.converters.IParameterSplitter;

/** Takes the value of an option as one element, commas included. Stateless and thread safe. */
public final class NoSplitter implements IParameterSplitter {
    @Override
    public List<String> split(String value) {
        return List.of(value);
    }
}
