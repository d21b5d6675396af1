package org.rattanplank.core.session;

import java.util.List;
import java.util.UUID;

import io.vavr.control.Option;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Failure;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.Step;
import org.rattanplank.core.request.WorkClass;

/** A small deployment for session tests: three regions of one data centre each, and requests of its callers. */
final class Koro {
    /** Timeout of each request. */
    static final long TIMEOUT_MILLIS = 20_000;

    private static final long STARTUP_MILLIS = 7_000;

    /** A key created when the deployment has just started. */
    static final String KEY = key(0);

    private static final String DOCUMENT =
            """
            {"generation": 1, "digest": "d1", "changeId": "c1", "files": {
              "00-suva": {"kind": "region", "name": "suva", "dataCentres": ["suva-hall"]},
              "00-lautoka": {"kind": "region", "name": "lautoka", "dataCentres": ["lautoka-hall"]},
              "00-labasa": {"kind": "region", "name": "labasa", "dataCentres": ["labasa-hall"]},
              "10-draft": {"kind": "service", "name": "plank-serve", "type": "model", "repeatable": true},
              "10-desk": {"kind": "service", "name": "crew-desk", "type": "plain", "repeatable": false},
              "20-labasa-only": {"kind": "residency", "name": "labasa-only", "regions": ["labasa"]},
              "20-anywhere": {"kind": "residency", "name": "anywhere",
                              "regions": ["suva", "lautoka", "labasa"]},
              "30-suva": {"kind": "account", "name": "suva-floor", "homeRegion": "suva",
                          "homeDataCentre": "suva-hall", "residency": "anywhere"},
              "30-lautoka": {"kind": "account", "name": "lautoka-floor", "homeRegion": "lautoka",
                             "homeDataCentre": "lautoka-hall"},
              "30-labasa": {"kind": "account", "name": "labasa-floor", "homeRegion": "labasa",
                            "homeDataCentre": "labasa-hall", "residency": "labasa-only"}}}
            """;

    private Koro() {}

    /** Starts two entry hosts and one target of each service in each region; the transcript begins after the start. */
    static Session start() {
        Session session = startWithTranscript();
        session.transcript().clear();
        return session;
    }

    /** Starts the same deployment, and keeps the transcript of the start. */
    static Session startWithTranscript() {
        Session session = new Session();
        for (String region : List.of("suva", "lautoka", "labasa")) {
            session.start(region + "-1", region, region + "-hall");
            session.start(region + "-2", region, region + "-hall");
            session.addTarget("plank-" + region, "plank-serve", region, region + "-hall");
            session.addTarget("desk-" + region, "crew-desk", region, region + "-hall");
        }
        return session.configure(DOCUMENT).advance(5_000);
    }

    /** Returns a version 7 UUID created when the deployment has just started. */
    static String key(int number) {
        long createdAtMillis = Session.START_MILLIS + STARTUP_MILLIS;
        return new UUID(createdAtMillis << 16 | 0x7000L, 0x8000_0000_0000_0000L | number).toString();
    }

    /** Returns a draft request, which is safe to retry. */
    static Request draft(Session session, String id, String region) {
        return request(session, id, region, "plank-serve", true, Option.none());
    }

    /** Returns a booking request, which is not safe to retry. */
    static Request booking(Session session, String id, String region, String key) {
        return request(session, id, region, "crew-desk", false, Option.some(key));
    }

    /** Returns the result of an attempt with a complete answer. */
    static AttemptResult completed(String body) {
        byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return new AttemptResult.Completed(Answer.of(200, "application/json", bytes), List.of());
    }

    /** Returns the result of an attempt that definitely did not run. */
    static AttemptResult refused(String target) {
        return new AttemptResult.NotRun(Failure.of(Step.CONNECT, target, "connection refused"), 0);
    }

    /** Returns the result of an attempt whose answer was lost. */
    static AttemptResult lost(String target) {
        return new AttemptResult.Lost(Failure.of(Step.RECEIVE, target, "the connection broke"), 0);
    }

    private static Request request(
            Session session, String id, String region, String service, boolean repeatable, Option<String> key) {
        return new Request(
                id,
                region + "-floor",
                service,
                WorkClass.INTERACTIVE,
                repeatable,
                key,
                region,
                Option.none(),
                session.nowMillis() + TIMEOUT_MILLIS,
                200,
                100,
                List.of(11L, 12L),
                false,
                List.of(),
                false,
                Fingerprint.ofIdentifier(id));
    }
}
