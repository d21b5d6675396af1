package org.rattanplank.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.rattanplank.core.account.AccountDemand;
import org.rattanplank.core.account.AccountUsage;
import org.rattanplank.core.gateway.GatewayHost;
import org.rattanplank.core.gateway.InFlightWork;
import org.rattanplank.core.gateway.PrefillBacklog;
import org.rattanplank.core.gateway.RegionStreamStats;
import org.rattanplank.core.gateway.StreamStats;
import org.rattanplank.core.gateway.Urgency;
import org.rattanplank.core.host.Location;
import org.rattanplank.core.quarantine.CrashEvidence;
import org.rattanplank.core.quarantine.Fingerprint;
import org.rattanplank.core.quarantine.PromptPartUse;
import org.rattanplank.gateway.SocketAddresses;
import org.rattanplank.gateway.store.StoreContents;
import org.rattanplank.gateway.store.StoreItem;
import org.rattanplank.gateway.store.StoreRevision;

/**
 * Encodes frames as MessagePack and decodes them.
 *
 * <p>A frame is a number for its kind followed by its fields in order; decoding fails for an unknown kind.
 * Stateless and thread safe.
 */
final class PeerFrameCodec {
    private static final int HELLO = 1;
    private static final int STATE = 2;
    private static final int STORE_ITEMS = 3;
    private static final int CALL_REQUEST = 4;
    private static final int RESPONSE_HEAD = 5;
    private static final int RESPONSE_CHUNK = 6;
    private static final int RESPONSE_END = 7;
    private static final int CALL_FAILED = 8;
    private static final int CALL_CANCEL = 9;
    private static final int COMPRESSED = 10;
    private static final int LEAVING = 11;
    private static final int STORE_CHANGES = 12;
    private static final int FRAGMENT = 13;
    private static final int LARGE_PREFILL_NOTICE = 14;
    private static final int FAILOVER_REQUEST = 15;
    private static final int CRASH_NOTICE = 16;
    private static final int PROMPT_PART_CRASH_NOTICE = 17;

    /** Smaller frames gain too little from compression. */
    private static final int MIN_COMPRESSIBLE_BYTES = 2_048;

    /** Frames that decompress to more are rejected; a configuration of a thousand routes has 0.4 MB. */
    private static final int MAX_DECOMPRESSED_BYTES = 16 << 20;

    /** Memory for this many bytes is taken before it is known whether a frame has them. */
    private static final int MAX_UNREAD_BYTES = 1 << 20;

    private PeerFrameCodec() {}

    static byte[] encode(PeerFrame frame) {
        return encode(frame, false);
    }

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @param mayPack whether the receiver accepts compressed items of the store; a host of an earlier version doesn't
     * @return the encoded frame
     */
    static byte[] encode(PeerFrame frame, boolean mayPack) {
        return Try.of(() -> {
                    MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
                    write(frame, out);
                    byte[] plain = out.toByteArray();
                    boolean compresses =
                            mayPack && frame instanceof PeerFrame.StoreItems && plain.length >= MIN_COMPRESSIBLE_BYTES;
                    return compresses ? compress(plain) : plain;
                })
                .get();
    }

    /**
     * Compresses an encoded frame. A configuration of 1,300 routes shrinks to a tenth of its size; it is sent to about
     * thirty hosts over a link that is shared with callers.
     */
    private static byte[] compress(byte[] plain) throws IOException {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            byte[] compressed = new byte[plain.length + MIN_COMPRESSIBLE_BYTES];
            int length = deflater.deflate(compressed);
            MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
            out.packInt(COMPRESSED).packInt(plain.length);
            out.packBinaryHeader(length).addPayload(compressed, 0, length);
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static PeerFrame decompress(MessageUnpacker in) throws IOException {
        int length = in.unpackInt();
        if (length < 0 || length > MAX_DECOMPRESSED_BYTES) {
            throw new IOException("compressed frame declares an invalid length of " + length + " bytes");
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(readBytes(in));
            byte[] plain = new byte[length];
            if (inflater.inflate(plain) != length) {
                throw new IOException("compressed frame is truncated");
            }
            MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(plain);
            int kind = unpacker.unpackInt();
            if (kind == COMPRESSED) {
                throw new IOException("compressed frame in a compressed frame");
            }
            return read(kind, unpacker);
        } catch (DataFormatException e) {
            throw new IOException("compressed frame is corrupt", e);
        } finally {
            inflater.end();
        }
    }

    /**
     * Returns whether a frame is a call.
     *
     * @param start the first bytes of the encoded frame, possibly none
     * @return whether they tell that it is one
     */
    static boolean startsCall(byte[] start) {
        return start.length > 0 && (start[0] == CALL_REQUEST || start[0] == FAILOVER_REQUEST);
    }

    static Try<PeerFrame> decode(byte[] bytes) {
        return Try.of(() -> {
            MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes);
            return read(unpacker.unpackInt(), unpacker);
        });
    }

    private static void write(PeerFrame frame, MessageBufferPacker out) throws IOException {
        if (frame instanceof PeerFrame.Hello hello) {
            out.packInt(HELLO);
            write(hello.host(), out);
        } else if (frame instanceof PeerFrame.State state) {
            write(state, out);
        } else if (frame instanceof PeerFrame.StoreItems items) {
            write(items, out);
        } else if (frame instanceof PeerFrame.CallRequest request) {
            write(request, out);
        } else if (frame instanceof PeerFrame.FailoverRequest failover) {
            out.packInt(FAILOVER_REQUEST).packString(failover.backup());
            write(failover.request(), out);
        } else if (frame instanceof PeerFrame.ResponseHead head) {
            out.packInt(RESPONSE_HEAD).packLong(head.call()).packInt(head.status());
            write(head.headers(), out);
            out.packString(head.target()).packString(head.backup());
        } else if (frame instanceof PeerFrame.ResponseChunk chunk) {
            out.packInt(RESPONSE_CHUNK).packLong(chunk.call());
            write(chunk.bytes(), out);
        } else if (frame instanceof PeerFrame.ResponseEnd end) {
            out.packInt(RESPONSE_END).packLong(end.call());
        } else if (frame instanceof PeerFrame.CallFailed failed) {
            out.packInt(CALL_FAILED).packLong(failed.call());
            out.packString(failed.failure()).packString(failed.reason()).packString(failed.target());
        } else if (frame instanceof PeerFrame.CallCancel cancel) {
            out.packInt(CALL_CANCEL).packLong(cancel.call());
        } else if (frame instanceof PeerFrame.Fragment fragment) {
            out.packInt(FRAGMENT).packBoolean(fragment.last());
            write(fragment.bytes(), out);
        } else if (frame instanceof PeerFrame.LargePrefillNotice notice) {
            out.packInt(LARGE_PREFILL_NOTICE);
            write(notice.work(), out);
            write(notice.work().streamStats(), out);
        } else if (frame instanceof PeerFrame.CrashNotice notice) {
            out.packInt(CRASH_NOTICE);
            write(notice.evidence(), PeerFrameCodec::writeRequest, out);
        } else if (frame instanceof PeerFrame.PromptPartCrashNotice notice) {
            out.packInt(PROMPT_PART_CRASH_NOTICE);
            write(notice.evidence(), PeerFrameCodec::writePromptPart, out);
        } else if (frame instanceof PeerFrame.Leaving leaving) {
            out.packInt(LEAVING).packLong(leaving.lastCall());
        }
    }

    private static void write(PeerFrame.StoreItems frame, MessageBufferPacker out) throws IOException {
        StoreContents contents = frame.contents();
        if (contents.baseRevision() == 0) {
            out.packInt(STORE_ITEMS);
        } else {
            out.packInt(STORE_CHANGES).packLong(contents.baseRevision());
        }
        out.packLong(contents.revision()).packLong(frame.removalGraceMillis());
        out.packArrayHeader(contents.items().size());
        for (StoreItem item : contents.items()) {
            out.packString(item.key()).packLong(item.revision()).packBoolean(item.removed());
            write(item.value(), out);
        }
        out.packLong(contents.removalsSinceRevision());
        // Of all items the receiver has the keys.
        if (contents.baseRevision() > 0 && contents.presentKeys().isDefined()) {
            write(contents.presentKeys().get(), out);
        }
    }

    private static void write(PeerFrame.State state, MessageBufferPacker out) throws IOException {
        out.packInt(STATE).packLong(state.sentAtMillis());
        out.packLong(state.echoedMillis()).packLong(state.echoAgeMillis()).packLong(state.periodMillis());
        out.packBoolean(state.acceptsCallers());
        out.packLong(state.configurationVersion()).packLong(state.storeDigest());
        out.packBoolean(state.watchesStore());
        out.packBoolean(state.storeHealthy());
        out.packArrayHeader(state.targetWork().size());
        for (PeerFrame.TargetWork work : state.targetWork()) {
            write(work, out);
        }
        out.packArrayHeader(state.regionLoads().size());
        for (PeerFrame.RegionLoad load : state.regionLoads()) {
            out.packString(load.service()).packInt(load.urgency().ordinal());
            out.packFloat((float) load.expectedMillis()).packFloat((float) load.perTokenMillis());
        }
        out.packLong(StoreRevision.number(state.newestRevision()));
        out.packLong(state.acceptMillis());
        out.packLong(StoreRevision.number(state.knownRevision())).packLong(state.linkBytesPerMilli());
        for (PeerFrame.TargetWork work : state.targetWork()) {
            write(work.streamStats(), out);
        }
        for (PeerFrame.RegionLoad load : state.regionLoads()) {
            RegionStreamStats streams = load.streams();
            out.packFloat((float) streams.interTokenMillis()).packFloat((float) streams.delayCostMillisPerToken());
        }
        out.packBoolean(state.supportsLargePrefillNotices()).packBoolean(state.supportsCrashNotices());
        out.packBoolean(state.supportsPromptPartNotices()).packBoolean(state.supportsKeyLists());
        out.packArrayHeader(state.accountUsage().size());
        for (AccountUsage usage : state.accountUsage()) {
            out.packString(usage.account()).packLong(usage.usedUnits());
            out.packFloat((float) usage.usedPerSecond()).packFloat((float) usage.demandPerSecond());
            out.packFloat((float) usage.regionUnits());
        }
        out.packArrayHeader(state.accountDemand().size());
        for (AccountDemand demand : state.accountDemand()) {
            out.packString(demand.account())
                    .packFloat((float) demand.perSecond())
                    .packFloat((float) demand.usedUnits());
        }
        if (state.supportsStoreEras()) {
            out.packLong(StoreRevision.era(state.newestRevision())).packLong(StoreRevision.era(state.knownRevision()));
        }
    }

    /** Writes the evidence by target, as the text of a target takes more bytes than the rest. */
    private static void write(List<CrashEvidence> evidence, SuspectWriter suspectWriter, MessageBufferPacker out)
            throws IOException {
        Map<String, List<CrashEvidence>> byTarget =
                evidence.stream().collect(Collectors.groupingBy(CrashEvidence::target));
        out.packMapHeader(byTarget.size());
        for (Map.Entry<String, List<CrashEvidence>> each : byTarget.entrySet()) {
            out.packString(each.getKey()).packArrayHeader(each.getValue().size());
            for (CrashEvidence piece : each.getValue()) {
                suspectWriter.write(piece, out);
                out.packBoolean(piece.cleared()).packLong(piece.ageMillis());
            }
        }
    }

    private static void writeRequest(CrashEvidence evidence, MessageBufferPacker out) throws IOException {
        write(evidence.fingerprint(), out);
    }

    private static void writePromptPart(CrashEvidence evidence, MessageBufferPacker out) throws IOException {
        PromptPartUse use = evidence.partUse().get();
        out.packString(use.id());
        write(use.request(), out);
        out.packLong(use.inFlightMillis());
    }

    private static void write(Fingerprint fingerprint, MessageBufferPacker out) throws IOException {
        out.packLong(fingerprint.high()).packLong(fingerprint.low());
    }

    private static List<CrashEvidence> readEvidence(MessageUnpacker in, EvidenceReader reader) throws IOException {
        List<CrashEvidence> evidence = new ArrayList<>();
        for (int targets = in.unpackMapHeader(); targets > 0; targets--) {
            String target = in.unpackString();
            for (int left = in.unpackArrayHeader(); left > 0; left--) {
                evidence.add(reader.read(target, in));
            }
        }
        return evidence;
    }

    private static CrashEvidence readRequest(String target, MessageUnpacker in) throws IOException {
        return new CrashEvidence(target, readFingerprint(in), in.unpackBoolean(), in.unpackLong());
    }

    private static CrashEvidence readPromptPart(String target, MessageUnpacker in) throws IOException {
        PromptPartUse use = new PromptPartUse(in.unpackString(), readFingerprint(in), in.unpackLong());
        return CrashEvidence.ofPromptPart(target, use, in.unpackBoolean(), in.unpackLong());
    }

    private static Fingerprint readFingerprint(MessageUnpacker in) throws IOException {
        return new Fingerprint(in.unpackLong(), in.unpackLong());
    }

    /** Writes what a piece of evidence suspects. */
    private interface SuspectWriter {
        void write(CrashEvidence evidence, MessageBufferPacker out) throws IOException;
    }

    /** Reads a piece of evidence about a target. */
    private interface EvidenceReader {
        CrashEvidence read(String target, MessageUnpacker in) throws IOException;
    }

    private static void write(PeerFrame.TargetWork work, MessageBufferPacker out) throws IOException {
        out.packString(work.target()).packInt(work.work().requests());
        PrefillBacklog prefillBacklog = work.work().prefillBacklog();
        out.packLong(prefillBacklog.first()).packLong(prefillBacklog.middle()).packLong(prefillBacklog.last());
        out.packLong(work.work().kvCacheTokens());
    }

    private static void write(StreamStats stats, MessageBufferPacker out) throws IOException {
        out.packInt(stats.streams())
                .packFloat((float) stats.totalInterTokenMillis())
                .packInt(stats.lagging());
    }

    private static void write(PeerFrame.CallRequest request, MessageBufferPacker out) throws IOException {
        out.packInt(CALL_REQUEST).packLong(request.call()).packLong(request.configurationVersion());
        out.packString(request.service()).packString(request.requestId()).packString(request.method());
        out.packString(request.uri()).packString(request.authority());
        write(request.headers(), out);
        write(request.body(), out);
        out.packLong(request.remainingMillis()).packLong(request.echoedMillis()).packLong(request.echoAgeMillis());
        out.packString(request.lastEventId());
        out.packInt(request.urgency().ordinal()).packBoolean(request.atMostOnce());
        write(request.excludedTargets(), out);
    }

    private static void write(GatewayHost host, MessageBufferPacker out) throws IOException {
        out.packString(host.name()).packLong(host.incarnation());
        out.packString(host.location().region()).packString(host.location().dataCentre());
        out.packString(host.callerAddress()).packString(host.peerAddress());
    }

    private static void write(Collection<String> strings, MessageBufferPacker out) throws IOException {
        out.packArrayHeader(strings.size());
        for (String string : strings) {
            out.packString(string);
        }
    }

    private static void write(byte[] bytes, MessageBufferPacker out) throws IOException {
        out.packBinaryHeader(bytes.length).addPayload(bytes);
    }

    private static PeerFrame read(int kind, MessageUnpacker in) throws IOException {
        return switch (kind) {
            case HELLO -> new PeerFrame.Hello(readHost(in));
            case STATE -> readState(in);
            case STORE_ITEMS -> readItems(0, in);
            case STORE_CHANGES -> readItems(in.unpackLong(), in);
            case FRAGMENT -> new PeerFrame.Fragment(in.unpackBoolean(), readBytes(in));
            case CALL_REQUEST -> readCallRequest(in);
            case FAILOVER_REQUEST -> readFailoverRequest(in);
            case RESPONSE_HEAD -> readResponseHead(in);
            case RESPONSE_CHUNK -> new PeerFrame.ResponseChunk(in.unpackLong(), readBytes(in));
            case RESPONSE_END -> new PeerFrame.ResponseEnd(in.unpackLong());
            case CALL_FAILED -> new PeerFrame.CallFailed(
                    in.unpackLong(), in.unpackString(), in.unpackString(), in.unpackString());
            case COMPRESSED -> decompress(in);
            case CALL_CANCEL -> new PeerFrame.CallCancel(in.unpackLong());
            case LARGE_PREFILL_NOTICE -> new PeerFrame.LargePrefillNotice(withStreamLatency(readTargetWork(in), in));
            case CRASH_NOTICE -> new PeerFrame.CrashNotice(readEvidence(in, PeerFrameCodec::readRequest));
            case PROMPT_PART_CRASH_NOTICE -> new PeerFrame.PromptPartCrashNotice(
                    readEvidence(in, PeerFrameCodec::readPromptPart));
            case LEAVING -> new PeerFrame.Leaving(in.unpackLong());
            default -> throw new IOException("unknown frame kind " + kind);
        };
    }

    private static PeerFrame readState(MessageUnpacker in) throws IOException {
        long sentAtMillis = in.unpackLong();
        long echoedMillis = in.unpackLong();
        long echoAgeMillis = in.unpackLong();
        long periodMillis = in.unpackLong();
        boolean acceptsCallers = in.unpackBoolean();
        long configurationVersion = in.unpackLong();
        long storeDigest = in.unpackLong();
        boolean watchesStore = in.unpackBoolean();
        boolean storeHealthy = in.unpackBoolean();
        List<PeerFrame.TargetWork> targetWork = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            targetWork.add(readTargetWork(in));
        }
        List<PeerFrame.RegionLoad> loads = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            loads.add(new PeerFrame.RegionLoad(
                    in.unpackString(), Urgency.of(in.unpackInt()), in.unpackFloat(), in.unpackFloat()));
        }
        // The state of a host of an earlier version ends here or before one of the following fields.
        long newestRevision = in.hasNext() ? in.unpackLong() : 0;
        long acceptsWorkMillis = in.hasNext() ? in.unpackLong() : acceptsCallers ? PeerFrame.State.UNLIMITED_MILLIS : 0;
        long knownRevision = in.hasNext() ? in.unpackLong() : PeerFrame.State.UNREPORTED;
        long linkBytesPerMilli = in.hasNext() ? in.unpackLong() : 0;
        for (int i = 0; i < targetWork.size() && in.hasNext(); i++) {
            targetWork.set(i, withStreamLatency(targetWork.get(i), in));
        }
        for (int i = 0; i < loads.size() && in.hasNext(); i++) {
            loads.set(i, withStreams(loads.get(i), in));
        }
        boolean supportsLargePrefillNotices = in.hasNext() && in.unpackBoolean();
        boolean supportsCrashNotices = in.hasNext() && in.unpackBoolean();
        boolean supportsPromptPartNotices = in.hasNext() && in.unpackBoolean();
        boolean supportsKeyLists = in.hasNext() && in.unpackBoolean();
        List<AccountUsage> accountUsage = new ArrayList<>();
        for (int left = in.hasNext() ? in.unpackArrayHeader() : 0; left > 0; left--) {
            accountUsage.add(new AccountUsage(
                    in.unpackString(), in.unpackLong(), in.unpackFloat(), in.unpackFloat(), in.unpackFloat()));
        }
        List<AccountDemand> accountDemand = new ArrayList<>();
        for (int left = in.hasNext() ? in.unpackArrayHeader() : 0; left > 0; left--) {
            accountDemand.add(new AccountDemand(in.unpackString(), in.unpackFloat(), in.unpackFloat()));
        }
        boolean supportsStoreEras = in.hasNext();
        if (supportsStoreEras) {
            newestRevision = StoreRevision.of(in.unpackLong(), newestRevision);
            knownRevision = StoreRevision.of(in.unpackLong(), knownRevision);
        }
        return new PeerFrame.State(
                sentAtMillis,
                echoedMillis,
                echoAgeMillis,
                periodMillis,
                acceptsCallers,
                configurationVersion,
                storeDigest,
                watchesStore,
                storeHealthy,
                targetWork,
                loads,
                newestRevision,
                acceptsWorkMillis,
                knownRevision,
                linkBytesPerMilli,
                supportsLargePrefillNotices,
                supportsCrashNotices,
                supportsPromptPartNotices,
                supportsKeyLists,
                supportsStoreEras,
                accountUsage,
                accountDemand);
    }

    private static PeerFrame.TargetWork readTargetWork(MessageUnpacker in) throws IOException {
        String target = in.unpackString();
        int requests = in.unpackInt();
        PrefillBacklog prefillBacklog = new PrefillBacklog(in.unpackLong(), in.unpackLong(), in.unpackLong());
        return new PeerFrame.TargetWork(
                target, new InFlightWork(requests, prefillBacklog, in.unpackLong()), StreamStats.NONE);
    }

    private static PeerFrame.TargetWork withStreamLatency(PeerFrame.TargetWork work, MessageUnpacker in)
            throws IOException {
        StreamStats stats = new StreamStats(in.unpackInt(), in.unpackFloat(), in.unpackInt());
        return new PeerFrame.TargetWork(work.target(), work.work(), stats);
    }

    private static PeerFrame.RegionLoad withStreams(PeerFrame.RegionLoad load, MessageUnpacker in) throws IOException {
        return new PeerFrame.RegionLoad(
                load.service(),
                load.urgency(),
                load.expectedMillis(),
                load.perTokenMillis(),
                new RegionStreamStats(in.unpackFloat(), in.unpackFloat()));
    }

    private static PeerFrame readItems(long baseRevision, MessageUnpacker in) throws IOException {
        long revision = in.unpackLong();
        long graceMillis = in.unpackLong();
        List<StoreItem> items = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            String key = in.unpackString();
            long itemRevision = in.unpackLong();
            boolean removed = in.unpackBoolean();
            items.add(new StoreItem(key, readBytes(in), itemRevision, removed));
        }
        // A host of an earlier version sends changes since a revision whether or not it knows all removals since.
        long removalsSinceRevision = in.hasNext() ? in.unpackLong() : revision;
        if (baseRevision == 0) {
            return new PeerFrame.StoreItems(
                    revision == 0
                            ? StoreContents.some(items)
                            : StoreContents.all(revision, removalsSinceRevision, items),
                    graceMillis);
        }
        Option<Set<String>> presentKeys = in.hasNext() ? Option.some(Set.copyOf(readStrings(in))) : Option.none();
        return new PeerFrame.StoreItems(
                new StoreContents(baseRevision, revision, removalsSinceRevision, items, presentKeys), graceMillis);
    }

    private static PeerFrame.CallRequest readCallRequest(MessageUnpacker in) throws IOException {
        return new PeerFrame.CallRequest(
                in.unpackLong(),
                in.unpackLong(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                readStrings(in),
                readBytes(in),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackString(),
                Urgency.of(in.unpackInt()),
                in.unpackBoolean(),
                readStrings(in));
    }

    private static PeerFrame.FailoverRequest readFailoverRequest(MessageUnpacker in) throws IOException {
        String backup = in.unpackString();
        if (in.unpackInt() != CALL_REQUEST) {
            throw new IOException("failover without a request");
        }
        return new PeerFrame.FailoverRequest(readCallRequest(in), backup);
    }

    private static PeerFrame.ResponseHead readResponseHead(MessageUnpacker in) throws IOException {
        return new PeerFrame.ResponseHead(
                in.unpackLong(),
                in.unpackInt(),
                readStrings(in),
                in.unpackString(),
                // A host of an earlier version names no backup.
                in.hasNext() ? in.unpackString() : "");
    }

    private static GatewayHost readHost(MessageUnpacker in) throws IOException {
        return new GatewayHost(
                in.unpackString(),
                in.unpackLong(),
                Location.of(in.unpackString(), in.unpackString()),
                readAddress(in),
                readAddress(in));
    }

    /** Reads an address, which is checked here so that no connection attempt meets an invalid one. */
    private static String readAddress(MessageUnpacker in) throws IOException {
        String address = in.unpackString();
        SocketAddresses.parse(address);
        return address;
    }

    private static List<String> readStrings(MessageUnpacker in) throws IOException {
        List<String> strings = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            strings.add(in.unpackString());
        }
        return strings;
    }

    /** Reads bytes. Memory for many of them is taken as they are read, as a frame may declare more than it has. */
    private static byte[] readBytes(MessageUnpacker in) throws IOException {
        int length = in.unpackBinaryHeader();
        byte[] bytes = new byte[Math.min(length, MAX_UNREAD_BYTES)];
        in.readPayload(bytes);
        while (bytes.length < length) {
            int read = bytes.length;
            bytes = Arrays.copyOf(bytes, (int) Math.min(length, 2L * read));
            in.readPayload(bytes, read, bytes.length - read);
        }
        return bytes;
    }
}
