package mulleinfront.gossip;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.DropReason;
import mulleinfront.fleet.Fleet;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.fleet.MemberState;
import mulleinfront.settings.EndpointList;
import mulleinfront.settings.FleetFile;

/**
 * This client proxy as a member of the fleet: runs its {@link Fleet} on the event loop's timer and on a socket, reports
 * its view to operators, and writes its event log. All methods run on the event loop.
 */
public final class Membership implements Fleet.Actions {
    /**
     * Interval at which the number of live members is reported, in addition to each change of the view: members that
     * were not seen expire without such a change.
     */
    private static final long LIVE_MEMBERS_INTERVAL_MS = 1_000;

    private static final int MAX_WATCHERS = 4;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final FleetSettings settings;
    private final Fleet fleet;
    private final PeerSocket socket;
    private final EventLog events;
    private final IntConsumer onLiveMembers;
    private final List<Consumer<String>> watchers = new ArrayList<>();
    private ScheduledFuture<?> fleetTimer;
    private boolean socketOpen;
    private boolean leaving;

    /**
     * @param clock monotonic clock of the owner, microseconds
     * @param seed random seed of this process
     * @param onLiveMembers called with the number of members that may be using the endpoints
     * @throws IOException if the event log can't be written
     */
    public Membership(
            EventLoop loop,
            ByteBufAllocator buffers,
            LongSupplier clock,
            long seed,
            FleetFile file,
            IntConsumer onLiveMembers)
            throws IOException {
        this.loop = loop;
        this.clock = clock;
        this.settings = file.settings();
        this.onLiveMembers = onLiveMembers;
        this.events = file.eventLog() == null ? null : new EventLog(eventFile(file), settings.number());
        this.fleet = new Fleet(
                settings,
                new SplittableRandom(seed ^ settings.number()),
                clock.getAsLong(),
                System.currentTimeMillis(),
                this);
        this.socket = new PeerSocket(
                loop,
                buffers,
                file.listen(),
                file.peers(),
                (from, bytes, length) -> fleet.onDatagram(clock.getAsLong(), from, bytes, length));
        if (events != null) {
            fleet.addListener(events);
        }
        fleet.addListener(new Fleet.Listener() {
            @Override
            public void changed(Change change) {
                onLiveMembers.accept(fleet.liveMembers(clock.getAsLong()));
                notifyWatchers(change);
            }

            @Override
            public void duplicateName(long now, String name, int first, int second) {
                System.err.println("mulleinfront: duplicate member name " + name + ": used by members " + first
                        + " and " + second);
            }
        });
    }

    /** Replaces {@code %n} by the member's name: {@code events-%n.json} gives each member its own file. */
    private static Path eventFile(FleetFile file) {
        return Path.of(file.eventLog().toString().replace("%n", file.settings().name()));
    }

    /** Creates the member and joins the fleet as soon as its socket address is free. */
    public static Membership join(
            EventLoop loop,
            ByteBufAllocator buffers,
            LongSupplier clock,
            long seed,
            FleetFile file,
            IntConsumer onLiveMembers)
            throws IOException {
        Membership membership = new Membership(loop, buffers, clock, seed, file, onLiveMembers);
        loop.execute(membership::openSocket);
        return membership;
    }

    private void openSocket() {
        socket.open(() -> {
            socketOpen = true;
            if (events != null) {
                events.logStart();
            }
            if (!leaving) {
                fleet.start(clock.getAsLong());
                reportLiveMembers();
            }
        });
    }

    private void reportLiveMembers() {
        onLiveMembers.accept(fleet.liveMembers(clock.getAsLong()));
        loop.schedule(this::reportLiveMembers, LIVE_MEMBERS_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Announces that this process leaves the fleet; called before a drain, so that the others do not wait for it. Until
     * {@link #close} the member keeps answering as a leaving member and keeps sending updates.
     */
    public void leave() {
        leaving = true;
        if (socketOpen) {
            if (events != null) {
                events.logLeave();
            }
            fleet.leave(clock.getAsLong());
        }
    }

    /** Joins the fleet again after {@link #leave}, in the same process. */
    public void rejoin() {
        leaving = false;
        if (socketOpen) {
            fleet.rejoin(clock.getAsLong());
        }
    }

    /** Closes the socket and the event log. */
    public void close() {
        socket.close();
        if (fleetTimer != null) {
            fleetTimer.cancel(false);
        }
        if (events != null) {
            events.close();
        }
    }

    // ---- the fleet's actions -------------------------------------------------------------------------

    @Override
    public void send(int member, byte[] bytes, int length) {
        socket.send(member, bytes, length);
    }

    @Override
    public void wakeAt(long atUs) {
        if (fleetTimer != null) {
            fleetTimer.cancel(false);
        }
        fleetTimer = loop.schedule(
                () -> {
                    fleetTimer = null;
                    fleet.onTimer(clock.getAsLong());
                },
                atUs - clock.getAsLong(),
                TimeUnit.MICROSECONDS);
    }

    // ---- operators -----------------------------------------------------------------------------------

    /** Passes each change to the watcher as a line of JSON; returns false if there are too many watchers. */
    public boolean watch(Consumer<String> watcher) {
        return watchers.size() < MAX_WATCHERS && watchers.add(watcher);
    }

    public void unwatch(Consumer<String> watcher) {
        watchers.remove(watcher);
    }

    private void notifyWatchers(Change change) {
        if (!watchers.isEmpty()) {
            String line = json(out -> {
                out.writeNumberField("number", change.number());
                out.writeNumberField("member", change.member());
                out.writeStringField("name", name(change.member()));
                out.writeStringField("from", change.from().outputName());
                out.writeStringField("to", change.to().outputName());
                out.writeNumberField("incarnation", change.incarnation());
                out.writeNumberField("word", change.sourceMember());
                out.writeStringField("cause", change.cause().outputName());
                out.writeStringField("digest", Long.toHexString(change.digest()));
            });
            List.copyOf(watchers).forEach(watcher -> watcher.accept(line));
        }
    }

    private String name(int member) {
        String name = fleet.name(member);
        return name == null ? "" : name;
    }

    /** The local view and the counters of this member, as one JSON object on a line. */
    public String membersJson() {
        long now = clock.getAsLong();
        return json(out -> {
            out.writeStringField("fleet", settings.fleet());
            out.writeNumberField("me", settings.number());
            out.writeStringField("reach", fleet.reachability().outputName());
            out.writeBooleanField("settled", fleet.converged());
            out.writeNumberField("alive", fleet.count(MemberState.ALIVE));
            out.writeNumberField("agreeing", fleet.agreeingMembers());
            out.writeNumberField("living", fleet.liveMembers(now));
            out.writeNumberField("doubt", fleet.localHealth());
            out.writeNumberField("changes", fleet.lastChange());
            out.writeStringField("digest", Long.toHexString(fleet.digest()));
            out.writeNumberField("sent", fleet.sentDatagrams());
            out.writeNumberField("sent_bytes", fleet.sentBytes());
            out.writeNumberField("read", fleet.receivedDatagrams());
            out.writeNumberField("held_back", fleet.rateLimitedDatagrams());
            out.writeNumberField("unsent", socket.unsentDatagrams());
            out.writeObjectFieldStart("not_read");
            for (var dropCount : fleet.dropCounts().entrySet()) {
                out.writeNumberField(dropCount.getKey().outputName(), dropCount.getValue());
            }
            out.writeEndObject();
            out.writeArrayFieldStart("members");
            for (int member = 0; member < fleet.size(); member++) {
                if (fleet.state(member) != MemberState.UNKNOWN) {
                    out.writeStartObject();
                    out.writeNumberField("member", member);
                    out.writeStringField("name", name(member));
                    out.writeStringField("state", fleet.state(member).outputName());
                    out.writeNumberField("since_ms", (now - fleet.stateSince(member)) / 1_000);
                    out.writeNumberField("started_ms", fleet.startedMs(member));
                    out.writeNumberField("word", fleet.sourceMember(member));
                    out.writeEndObject();
                }
            }
            out.writeEndArray();
        });
    }

    /** Writes the fields of a JSON object. */
    private interface Fields {
        void write(JsonGenerator out) throws IOException;
    }

    private static String json(Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = EndpointList.JSON.createGenerator(text)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Number of datagrams discarded for this reason; for tests. */
    long dropCount(DropReason reason) {
        return fleet.dropCounts().getOrDefault(reason, 0L);
    }
}
