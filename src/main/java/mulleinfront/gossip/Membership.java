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
import mulleinfront.settings.FleetFile;
import mulleinfront.settings.Listing;

/**
 * This client proxy as a member of the fleet: its {@link Fleet} on the event loop's time and on a socket, what it tells
 * operators, and its event log. All of it runs on the event loop.
 */
public final class Membership implements Fleet.Actions {
    /** How often the number of those who live is looked at, beside whenever somebody changes. */
    private static final long SHARE_MS = 1_000;
    /** After it has left, a process goes on telling so for as long as it lives; news still go out. */
    private static final int MOST_WATCHERS = 4;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final FleetSettings figures;
    private final Fleet fleet;
    private final PeerSocket socket;
    private final EventLog events;
    private final IntConsumer living;
    private final List<Consumer<String>> watchers = new ArrayList<>();
    private ScheduledFuture<?> timer;
    private boolean open;
    private boolean left;

    /**
     * @param clock microseconds, the owner's
     * @param seed of chance, this process's own
     * @param living told how many may be using the hosts
     * @throws IOException if the event log can't be written
     */
    public Membership(
            EventLoop loop, ByteBufAllocator buffers, LongSupplier clock, long seed, FleetFile file, IntConsumer living)
            throws IOException {
        this.loop = loop;
        this.clock = clock;
        this.figures = file.figures();
        this.living = living;
        this.events = file.events() == null ? null : new EventLog(eventFile(file), figures.number());
        this.fleet = new Fleet(
                figures,
                new SplittableRandom(seed ^ figures.number()),
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
            fleet.listen(events);
        }
        fleet.listen(new Fleet.Listener() {
            @Override
            public void changed(Change change) {
                living.accept(fleet.liveMembers(clock.getAsLong()));
                tell(change);
            }

            @Override
            public void duplicateName(long now, String name, int one, int other) {
                System.err.println(
                        "mulleinfront: two client proxies are called " + name + ": " + one + " and " + other);
            }
        });
    }

    /** Names may stand for the instance: {@code events-%n.json} is a file of its own for each. */
    private static Path eventFile(FleetFile file) {
        return Path.of(file.events().toString().replace("%n", file.figures().name()));
    }

    /** Reads what a fleet needs to know and begins as soon as its address can be had. */
    public static Membership join(
            EventLoop loop, ByteBufAllocator buffers, LongSupplier clock, long seed, FleetFile file, IntConsumer living)
            throws IOException {
        Membership m = new Membership(loop, buffers, clock, seed, file, living);
        loop.execute(m::begin);
        return m;
    }

    private void begin() {
        socket.open(() -> {
            open = true;
            if (events != null) {
                events.began();
            }
            if (!left) {
                fleet.start(clock.getAsLong());
                share();
            }
        });
    }

    private void share() {
        living.accept(fleet.liveMembers(clock.getAsLong()));
        loop.schedule(this::share, SHARE_MS, TimeUnit.MILLISECONDS);
    }

    /** Says to the others that this process goes; before a drain, so that they do not wait for it. */
    public void leave() {
        left = true;
        if (open) {
            if (events != null) {
                events.leaves();
            }
            fleet.leave(clock.getAsLong());
        }
    }

    /** It is there again after all. */
    public void rejoin() {
        left = false;
        if (open) {
            fleet.rejoin(clock.getAsLong());
        }
    }

    /** The end of the process. */
    public void close() {
        socket.close();
        if (timer != null) {
            timer.cancel(false);
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
        if (timer != null) {
            timer.cancel(false);
        }
        timer = loop.schedule(
                () -> {
                    timer = null;
                    fleet.onTimer(clock.getAsLong());
                },
                atUs - clock.getAsLong(),
                TimeUnit.MICROSECONDS);
    }

    // ---- operators -----------------------------------------------------------------------------------

    /** Tells somebody each change in a line of JSON; at most a few at a time. */
    public boolean watch(Consumer<String> watcher) {
        return watchers.size() < MOST_WATCHERS && watchers.add(watcher);
    }

    public void unwatch(Consumer<String> watcher) {
        watchers.remove(watcher);
    }

    private void tell(Change c) {
        if (!watchers.isEmpty()) {
            String line = json(out -> {
                out.writeNumberField("number", c.number());
                out.writeNumberField("member", c.member());
                out.writeStringField("name", name(c.member()));
                out.writeStringField("from", c.from().word());
                out.writeStringField("to", c.to().word());
                out.writeNumberField("incarnation", c.incarnation());
                out.writeNumberField("word", c.sourceMember());
                out.writeStringField("cause", c.cause().word());
                out.writeStringField("digest", Long.toHexString(c.digest()));
            });
            List.copyOf(watchers).forEach(w -> w.accept(line));
        }
    }

    private String name(int member) {
        String name = fleet.name(member);
        return name == null ? "" : name;
    }

    /** All that is known, as one JSON object on a line. */
    public String members() {
        long now = clock.getAsLong();
        return json(out -> {
            out.writeStringField("fleet", figures.fleet());
            out.writeNumberField("me", figures.number());
            out.writeStringField("reach", fleet.reach().word());
            out.writeBooleanField("settled", fleet.converged());
            out.writeNumberField("alive", fleet.count(MemberState.ALIVE));
            out.writeNumberField("agreeing", fleet.agreeing());
            out.writeNumberField("living", fleet.liveMembers(now));
            out.writeNumberField("doubt", fleet.localHealth());
            out.writeNumberField("changes", fleet.changes());
            out.writeStringField("digest", Long.toHexString(fleet.digest()));
            out.writeNumberField("sent", fleet.sentDatagrams());
            out.writeNumberField("sent_bytes", fleet.sentBytes());
            out.writeNumberField("read", fleet.received());
            out.writeNumberField("held_back", fleet.rateLimitedDatagrams());
            out.writeNumberField("unsent", socket.unsent());
            out.writeObjectFieldStart("not_read");
            for (var drop : fleet.drops().entrySet()) {
                out.writeNumberField(drop.getKey().word(), drop.getValue());
            }
            out.writeEndObject();
            out.writeArrayFieldStart("members");
            for (int m = 0; m < fleet.size(); m++) {
                if (fleet.state(m) != MemberState.UNKNOWN) {
                    out.writeStartObject();
                    out.writeNumberField("member", m);
                    out.writeStringField("name", name(m));
                    out.writeStringField("state", fleet.state(m).word());
                    out.writeNumberField("since_ms", (now - fleet.since(m)) / 1_000);
                    out.writeNumberField("started_ms", fleet.startedMs(m));
                    out.writeNumberField("word", fleet.sourceMember(m));
                    out.writeEndObject();
                }
            }
            out.writeEndArray();
        });
    }

    /** Writes fields of an object. */
    private interface Fields {
        void write(JsonGenerator out) throws IOException;
    }

    private static String json(Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = Listing.JSON.createGenerator(text)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** Datagrams that were not read, for tests. */
    long notRead(DropReason why) {
        return fleet.drops().getOrDefault(why, 0L);
    }
}
