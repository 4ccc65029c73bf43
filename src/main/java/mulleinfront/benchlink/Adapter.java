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

/**
 * Connects balancers to an external simulator: reads batches of events as JSON, passes them to one {@link Balancer} for
 * each instance, and writes the balancers' actions as the reply. It makes no decisions itself.
 */
public final class Adapter {
    private static final int TABLE_COUNT = 16;

    private final JsonParser in;
    private final JsonGenerator out;
    private final EventReader events;
    private final TreeMap<Integer, Instance> instances = new TreeMap<>();
    /** Instances addressed by the current batch, in order. */
    private final List<Instance> addressed = new ArrayList<>();

    private final List<List<Endpoint>> tables = new ArrayList<>();

    private Adapter(InputStream input, OutputStream output) throws IOException {
        JsonFactory factory = new JsonFactory();
        factory.configure(JsonParser.Feature.AUTO_CLOSE_SOURCE, false);
        this.in = factory.createParser(input);
        this.out = factory.createGenerator(output);
        this.out.setRootValueSeparator(null);
        this.events = new EventReader(in);
        for (int i = 0; i < TABLE_COUNT; i++) {
            tables.add(List.of());
        }
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws IOException if a batch is malformed or a stream breaks
     */
    public static void run(InputStream input, OutputStream output) throws IOException {
        Adapter adapter = new Adapter(input, output);
        while (adapter.readBatch()) {
            adapter.writeReply();
        }
    }

    private boolean readBatch() throws IOException {
        JsonToken first = in.nextToken();
        if (first == null) {
            return false;
        }
        addressed.clear();
        if (first != JsonToken.START_OBJECT) {
            throw new ProtocolException("a batch must be an object");
        }
        long now = 0;
        boolean hasTime = false;
        events.reset();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "wallUs" -> {
                    now = in.getLongValue();
                    hasTime = true;
                }
                case "proxys" -> events.readGroups();
                default -> in.skipChildren();
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new ProtocolException("a batch ends early");
        }
        if (!hasTime) {
            throw new ProtocolException("a batch must have wallUs");
        }
        for (int group = 0; group < events.groups(); group++) {
            dispatch(events.instance(group), events.firstEvent(group), events.endEvent(group), now);
        }
        return true;
    }

    private void dispatch(int instanceNumber, int firstEvent, int endEvent, long now) throws IOException {
        Instance instance = instances.computeIfAbsent(instanceNumber, Instance::new);
        if (!addressed.contains(instance)) {
            addressed.add(instance);
        }
        for (int i = firstEvent; i < endEvent; i++) {
            EventReader.Event event = events.event(i);
            if (event.type == null) {
                throw new ProtocolException("an event must have m");
            }
            if (event.type.equals("CATALOG")) {
                if (event.tableIndex < 0 || event.tableIndex >= TABLE_COUNT) {
                    throw new ProtocolException("CATALOG: table out of range");
                }
                tables.set(event.tableIndex, event.endpoints);
                continue;
            }
            try {
                instance.handle(event, now);
            } catch (RuntimeException failure) {
                instance.addCrash(failure);
            }
        }
    }

    private void writeReply() throws IOException {
        out.writeStartObject();
        out.writeArrayFieldStart("proxys");
        for (Instance instance : addressed) {
            if (!instance.pending.isEmpty()) {
                out.writeStartObject();
                out.writeNumberField("i", instance.number);
                out.writeArrayFieldStart("actions");
                for (Action action : instance.pending) {
                    action.write(out);
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
     * An action to be written to the reply; {@code number} is written under {@code numberField} if that is not null.
     */
    private record Action(
            String type, String requestId, String endpointId, String numberField, long number, String message) {
        void write(JsonGenerator out) throws IOException {
            out.writeStartObject();
            out.writeStringField("m", type);
            if (requestId != null) {
                out.writeStringField("xid", requestId);
            }
            if (endpointId != null) {
                out.writeStringField("host", endpointId);
            }
            if (numberField != null) {
                out.writeNumberField(numberField, number);
            }
            switch (type) {
                case "TIMER" -> out.writeStringField("name", "wake");
                case "OBSERVE" -> out.writeBooleanField("enable", true);
                case "CRASH" -> out.writeStringField("msg", message);
                default -> {}
            }
            out.writeEndObject();
        }
    }

    /**
     * One instance: its balancer, which is null while the instance is not running, and the actions of the current
     * batch.
     */
    private final class Instance implements Actions {
        final int number;
        final List<Action> pending = new ArrayList<>();
        Balancer balancer;

        Instance(int number) {
            this.number = number;
        }

        void handle(EventReader.Event event, long now) throws ProtocolException {
            if (event.type.equals("BOOT")) {
                if (event.settings == null) {
                    throw new IllegalArgumentException("settings: bootInfo is missing");
                }
                balancer = Balancer.create(event.settings.toSettings(), event.seed, now, this);
                return;
            }
            if (balancer == null) {
                return;
            }
            if (event.inFlight >= 0) {
                balancer.onLoadReport(now, event.endpointId, event.inFlight);
            }
            switch (event.type) {
                case "DISCOVERY" -> handleDiscovery(event, now);
                case "ORDER" ->
                    balancer.onRequest(
                            now,
                            new Request(
                                    event.requestId,
                                    event.classIndex,
                                    event.key,
                                    event.budgetUs,
                                    (event.flags & 1) != 0 ? event.expectedUs : 0,
                                    event.tenant,
                                    (event.flags & 2) != 0));
                case "ABORTED" -> balancer.onRequestAbandoned(now, event.requestId);
                case "FIRST_BYTE" -> balancer.onStreamStarted(now, event.requestId, event.attempt);
                case "ENDED" ->
                    balancer.onAttemptEnded(
                            now,
                            new AttemptEnd(
                                    event.requestId,
                                    event.attempt,
                                    outcome(event.outcome),
                                    event.requestDone,
                                    event.latencyUs));
                case "BELL" -> balancer.onTimer(now);
                case "STOP" -> balancer = null;
                case "PONG" -> balancer.onProbeEnded(now, event.endpointId, outcome(event.outcome), event.latencyUs);
                case "FROM_PEER" -> {}
                default -> throw new ProtocolException("unknown event " + event.type);
            }
        }

        private void handleDiscovery(EventReader.Event event, long now) throws ProtocolException {
            Source source = switch (String.valueOf(event.updateKind)) {
                case "cached" -> Source.CACHED;
                case "full" -> Source.FULL;
                case "delta" -> Source.DELTA;
                case "failed" -> null;
                default -> throw new ProtocolException("DISCOVERY: unknown value of how: " + event.updateKind);
            };
            if (source == null) {
                balancer.onDiscoveryFailed(now);
            } else if (event.tableIndex < 0 || event.tableIndex >= TABLE_COUNT) {
                throw new ProtocolException("DISCOVERY: table out of range");
            } else {
                balancer.onEndpoints(now, source, tables.get(event.tableIndex));
            }
        }

        void addCrash(RuntimeException failure) {
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

    private static Outcome outcome(String text) throws ProtocolException {
        return switch (String.valueOf(text)) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.FAILED;
            case "QueueFull" -> Outcome.QUEUE_FULL;
            case "TimedOut" -> Outcome.TIMED_OUT;
            case "ConnectError" -> Outcome.CONNECT_ERROR;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELED;
            case "Ignored" -> Outcome.IGNORED;
            default -> throw new ProtocolException("ENDED: unknown outcome " + text);
        };
    }
}
