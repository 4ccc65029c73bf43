package mulleinfront.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Actions;
import mulleinfront.Balancer.AttemptEnd;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.Source;

/** Speaks the bench's wire and hosts one {@link Balancer} for each instance; decides nothing. */
public final class Adapter {
    private static final int TABLES = 16;

    private final JsonParser in;
    private final JsonGenerator out;
    private final EventReader events;
    private final TreeMap<Integer, Instance> instances = new TreeMap<>();
    /** Instances addressed by the batch at hand, in order. */
    private final List<Instance> addressed = new ArrayList<>();

    private final List<List<Endpoint>> tables = new ArrayList<>();

    private Adapter(InputStream input, OutputStream output) throws IOException {
        JsonFactory factory = new JsonFactory();
        factory.configure(JsonParser.Feature.AUTO_CLOSE_SOURCE, false);
        this.in = factory.createParser(input);
        this.out = factory.createGenerator(output);
        this.out.setRootValueSeparator(null);
        this.events = new EventReader(in);
        for (int i = 0; i < TABLES; i++) {
            tables.add(List.of());
        }
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws IOException if a line is malformed or a stream breaks
     */
    public static void run(InputStream input, OutputStream output) throws IOException {
        Adapter adapter = new Adapter(input, output);
        while (adapter.batch()) {
            adapter.reply();
        }
    }

    private boolean batch() throws IOException {
        JsonToken first = in.nextToken();
        if (first == null) {
            return false;
        }
        addressed.clear();
        if (first != JsonToken.START_OBJECT) {
            throw new WireException("a batch must be an object");
        }
        long now = 0;
        boolean clock = false;
        events.reset();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "wallUs" -> {
                    now = in.getLongValue();
                    clock = true;
                }
                case "proxys" -> events.readGroups();
                default -> in.skipChildren();
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new WireException("a batch ends early");
        }
        if (!clock) {
            throw new WireException("a batch without wallUs");
        }
        for (int g = 0; g < events.groups(); g++) {
            dispatch(events.instance(g), events.from(g), events.to(g), now);
        }
        return true;
    }

    private void dispatch(int number, int from, int to, long now) throws IOException {
        Instance instance = instances.computeIfAbsent(number, Instance::new);
        if (!addressed.contains(instance)) {
            addressed.add(instance);
        }
        for (int i = from; i < to; i++) {
            EventReader.Event e = events.event(i);
            if (e.type == null) {
                throw new WireException("an event without m");
            }
            if (e.type.equals("CATALOG")) {
                if (e.table < 0 || e.table >= TABLES) {
                    throw new WireException("CATALOG: table out of range");
                }
                tables.set(e.table, e.rows);
                continue;
            }
            try {
                instance.handle(e, now);
            } catch (RuntimeException failure) {
                instance.crash(failure);
            }
        }
    }

    private void reply() throws IOException {
        out.writeStartObject();
        out.writeArrayFieldStart("proxys");
        for (Instance instance : addressed) {
            if (!instance.pending.isEmpty()) {
                out.writeStartObject();
                out.writeNumberField("i", instance.number);
                out.writeArrayFieldStart("actions");
                for (Action a : instance.pending) {
                    a.write(out);
                }
                out.writeEndArray();
                out.writeEndObject();
                instance.pending.clear();
            }
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
    }

    /**
     * An action on its way to the wire; {@code number} is written under {@code numberName} if that is set.
     */
    private record Action(String type, String requestId, String host, String numberName, long number, String text) {
        void write(JsonGenerator out) throws IOException {
            out.writeStartObject();
            out.writeStringField("m", type);
            if (requestId != null) {
                out.writeStringField("xid", requestId);
            }
            if (host != null) {
                out.writeStringField("host", host);
            }
            if (numberName != null) {
                out.writeNumberField(numberName, number);
            }
            switch (type) {
                case "TIMER" -> out.writeStringField("name", "wake");
                case "OBSERVE" -> out.writeBooleanField("enable", true);
                case "CRASH" -> out.writeStringField("msg", text);
                default -> {}
            }
            out.writeEndObject();
        }
    }

    /** One instance: its balancer, and the actions of the batch at hand. */
    private final class Instance implements Actions {
        final int number;
        final List<Action> pending = new ArrayList<>();
        Balancer balancer;

        Instance(int number) {
            this.number = number;
        }

        void handle(EventReader.Event e, long now) throws WireException {
            if (e.type.equals("BOOT")) {
                if (e.settings == null) {
                    throw new IllegalArgumentException("settings: bootInfo is missing");
                }
                balancer = Balancer.create(e.settings.toSettings(), e.seed, now, this);
                return;
            }
            if (balancer == null) {
                return;
            }
            if (e.held >= 0) {
                balancer.onLoadReport(now, e.host, e.held);
            }
            switch (e.type) {
                case "DISCOVERY" -> discovery(e, now);
                case "ORDER" ->
                    balancer.onRequest(
                            now,
                            new Request(
                                    e.requestId,
                                    e.classIndex,
                                    e.key,
                                    e.budgetUs,
                                    (e.bits & 1) != 0 ? e.expectedUs : 0,
                                    e.tenant,
                                    (e.bits & 2) != 0));
                case "ABORTED" -> balancer.onRequestAbandoned(now, e.requestId);
                case "FIRST_BYTE" -> balancer.onStreamStarted(now, e.requestId, e.attempt);
                case "ENDED" ->
                    balancer.onAttemptEnded(
                            now, new AttemptEnd(e.requestId, e.attempt, outcome(e.outcome), e.complete, e.lagUs));
                case "BELL" -> balancer.onTimer(now);
                case "STOP" -> balancer = null;
                case "PONG" -> balancer.onProbeEnded(now, e.host, outcome(e.outcome), e.lagUs);
                case "FROM_PEER" -> {}
                default -> throw new WireException("unknown event " + e.type);
            }
        }

        private void discovery(EventReader.Event e, long now) throws WireException {
            Source source = switch (String.valueOf(e.how)) {
                case "cached" -> Source.CACHED;
                case "full" -> Source.FULL;
                case "delta" -> Source.DELTA;
                case "failed" -> null;
                default -> throw new WireException("DISCOVERY: unknown how " + e.how);
            };
            if (source == null) {
                balancer.onDiscoveryFailed(now);
            } else if (e.table < 0 || e.table >= TABLES) {
                throw new WireException("DISCOVERY: table out of range");
            } else {
                balancer.onEndpoints(now, source, tables.get(e.table));
            }
        }

        void crash(RuntimeException failure) {
            pending.add(new Action("CRASH", null, null, null, 0, String.valueOf(failure)));
        }

        @Override
        public void send(String requestId, String endpointId, long timeoutUs) {
            pending.add(new Action("FORWARD", requestId, endpointId, "tryForUs", timeoutUs, null));
        }

        @Override
        public void refuse(String requestId, long retryAfterUs) {
            pending.add(new Action(
                    "PUSH_BACK", requestId, null, retryAfterUs > 0 ? "holdOffUs" : null, retryAfterUs, null));
        }

        @Override
        public void fail(String requestId) {
            pending.add(new Action("FAIL", requestId, null, null, 0, null));
        }

        @Override
        public void cancel(String requestId, int attempt) {
            pending.add(new Action("ABORT_ATTEMPT", requestId, null, "hop", attempt, null));
        }

        @Override
        public void probe(String endpointId) {
            pending.add(new Action("PROBE", null, endpointId, null, 0, null));
        }

        @Override
        public void subscribe() {
            pending.add(new Action("OBSERVE", null, null, null, 0, null));
        }

        @Override
        public void wakeAt(long atUs) {
            pending.add(new Action("TIMER", null, null, "atUs", atUs, null));
        }
    }

    private static Outcome outcome(String word) throws WireException {
        return switch (String.valueOf(word)) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.FAILED;
            case "QueueFull" -> Outcome.QUEUE_FULL;
            case "TimedOut" -> Outcome.TIMED_OUT;
            case "ConnectError" -> Outcome.CONNECT_ERROR;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELED;
            case "Ignored" -> Outcome.IGNORED;
            default -> throw new WireException("ENDED: unknown outcome " + word);
        };
    }
}
