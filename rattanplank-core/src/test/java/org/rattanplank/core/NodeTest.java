package org.rattanplank.core;

import java.util.List;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;
import org.rattanplank.core.host.HostList;
import org.rattanplank.core.host.HostRole;
import org.rattanplank.core.host.ListedHost;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.request.Answer;
import org.rattanplank.core.request.AttemptResult;
import org.rattanplank.core.request.Outcome;
import org.rattanplank.core.request.Request;
import org.rattanplank.core.request.WorkClass;
import org.rattanplank.core.route.Policy;
import org.rattanplank.core.store.StoreEntry;
import org.rattanplank.core.store.StoreOwner;
import org.rattanplank.core.store.StoreReply;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class NodeTest {
    private static final Location SUVA = Location.of("suva", "suva-hall");
    private static final String DOCUMENT =
            """
            {"generation": 1, "digest": "d", "files": {
              "10": {"kind": "service", "name": "plank-serve", "type": "model", "repeatable": true},
              "20": {"kind": "account", "name": "floor", "homeRegion": "suva", "homeDataCentre": "suva-hall"}}}
            """;

    private final Node node = Node.of(new NodeIdentity("suva-1", 1, SUVA), Policy.COST, 1);

    @Test
    void shouldAnswerWhenTargetReturnsCompleteAnswer() {
        configure();
        List<Action> started = node.handle(new Event.CallerRequestReceived(draft("r1")), 20);
        Action.StartAttempt attempt = assertInstanceOf(Action.StartAttempt.class, started.get(0));
        Answer answer = Answer.of(200, "application/json", new byte[] {1});
        List<Action> ended = node.handle(
                new Event.AttemptEnded("r1", attempt.attempt(), new AttemptResult.Completed(answer, List.of())), 30);
        assertEquals(
                List.of(new Action.Finish(
                        "r1",
                        new Outcome.Answered(
                                answer, List.of("suva-1", attempt.route().peer())))),
                ended);
    }

    private void configure() {
        ListedHost target = new ListedHost("plank-1", HostRole.TARGET, SUVA, "127.0.0.1", 1, 0, "plank-serve", false);
        node.handle(new Event.HostsListed(new HostList(1, List.of(target))), 10);
        node.handle(
                new Event.StoreReplied(
                        StoreOwner.CONFIGURATION,
                        1,
                        new StoreReply.Found(List.of(new StoreEntry("k", DOCUMENT, 1)), 1)),
                11);
    }

    private static Request draft(String id) {
        return new Request(
                id,
                "floor",
                "plank-serve",
                WorkClass.DRAFT,
                true,
                Option.none(),
                "suva",
                Option.none(),
                10_000,
                100,
                100,
                List.of(),
                false,
                List.of(),
                false);
    }
}
