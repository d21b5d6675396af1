package org.rattanplank.gateway.peer;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DisconnectCauseTest {
    /** Guards against hosts that take over what another one still uses, which has only not heard of them and closed its link. */
    @ParameterizedTest
    @EnumSource(DisconnectCause.class)
    void shouldExpectAHostToServeOnWhenItHasNotLeft(DisconnectCause cause) {
        assertEquals(cause != DisconnectCause.LEFT, cause.mayBeAlive());
    }
}
