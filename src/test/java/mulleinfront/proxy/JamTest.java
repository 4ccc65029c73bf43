package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mulleinfront.Balancer;
import mulleinfront.proxy.Peers.Client;
import mulleinfront.proxy.Peers.Discovery;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** One of a hundred instances, with the real module, before a fleet that stops answering in time. */
class JamTest extends ProxyRig {
    private static final Pattern ADMISSION = Pattern.compile("admission (\\d+) ");

    private int refusedByAdmission() throws Exception {
        Matcher m = ADMISSION.matcher(OperatedTest.call(proxy.managementPort(), "refusals\n"));
        return m.find() ? Integer.parseInt(m.group(1)) : 0;
    }

    @Test
    void aFleetThatReportedACrowdAndThenAnswersNobodyIsNotTakenForIdle() throws Exception {
        // Guards against a jam that keeps itself up: who is not answered hears no reports, and took that for room.
        AtomicBoolean jammed = new AtomicBoolean();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            hosts.add(Peers.host(
                    "s" + i,
                    host(s -> {
                                if (!jammed.get()) {
                                    s.answer(200, "X-Load: {\"outstanding\":5}\r\n", "x");
                                }
                            })
                            .address(),
                    "in_service"));
        }
        discovery = keep(new Discovery());
        String config = Peers.config(
                        0, discovery.server.address(), "", Peers.list(1, true, hosts.toArray(String[]::new)))
                .replace("{\"name\":\"n0\"", "{\"name\":\"n0\",\"management\":\"127.0.0.1:0\"")
                .replace("\"balancers\":3", "\"balancers\":100")
                .replace("\"onTimeUs\":20000000,\"deadlineUs\":20000000", "\"onTimeUs\":400000,\"deadlineUs\":400000");
        proxy = ClientProxy.start(Config.parse(config.getBytes(StandardCharsets.UTF_8)), Balancer::create);
        ClientProxy.operate(List.of(proxy));
        Client client = client();
        int served = 0;
        for (int i = 0; served < 30; i++) {
            served += client.safe("before" + i, 400).read().status() == 200 ? 1 : 0;
        }
        jammed.set(true);
        for (int i = 0; i < 20; i++) {
            assertEquals(503, client.safe("into" + i, 400).read().status());
        }
        int before = refusedByAdmission();
        for (int i = 0; i < 10; i++) {
            assertEquals(503, client.safe("still" + i, 400).read().status());
        }
        int refused = refusedByAdmission() - before;
        assertTrue(refused > 0, "all ten were sent into the jam");
        assertTrue(refused < 10, "and some must be, or nobody would see its end");
    }
}
