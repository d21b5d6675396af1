package org.rattanplank.daemon.setting;

import java.net.URI;
import java.util.regex.Pattern;

import io.vavr.control.Option;
import io.vavr.control.Try;

/** The type of the values of a setting, with their check. */
public enum SettingType {
    /** A whole number within bounds. */
    INTEGER {
        @Override
        Option<String> brokenBound(Setting setting, String value) {
            boolean sound = Try.of(() -> Long.parseLong(value))
                    .filter(number -> number >= setting.min() && number <= setting.max())
                    .isSuccess();
            return boundUnless(sound, "a whole number from " + setting.min() + " to " + setting.max());
        }
    },
    /** One of a fixed list of words. */
    CHOICE {
        @Override
        Option<String> brokenBound(Setting setting, String value) {
            return boundUnless(setting.choices().contains(value), "one of " + String.join(", ", setting.choices()));
        }
    },
    /** The name of a host, region or data centre. */
    NAME {
        @Override
        Option<String> brokenBound(Setting setting, String value) {
            return boundUnless(NAMES.matcher(value).matches(), "1 to 63 letters, digits, dots, underscores or hyphens");
        }
    },
    /** An IP address; host names are not resolved. */
    ADDRESS {
        @Override
        Option<String> brokenBound(Setting setting, String value) {
            return boundUnless(ADDRESSES.matcher(value).matches(), "an IP address, such as 127.0.0.1");
        }
    },
    /** The base URL of an HTTP service, with a port. */
    URL {
        @Override
        Option<String> brokenBound(Setting setting, String value) {
            boolean sound = Try.of(() -> URI.create(value))
                    .filter(uri -> "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0)
                    .isSuccess();
            return boundUnless(sound, "an address with a port, such as http://127.0.0.1:8080");
        }
    };

    private static final Pattern NAMES = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern ADDRESSES =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]+");

    /**
     * Checks a value.
     *
     * @param setting the setting
     * @param value the value
     * @return the bound that it violates, or none if it is valid
     */
    abstract Option<String> brokenBound(Setting setting, String value);

    private static Option<String> boundUnless(boolean valid, String bound) {
        return valid ? Option.none() : Option.some(bound);
    }
}
