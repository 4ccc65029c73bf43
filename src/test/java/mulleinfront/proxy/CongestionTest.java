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
import mulleinfront.proxy.StandIns.Client;
import mulleinfront.proxy.StandIns.DiscoveryStandIn;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** One of 100 instances, with the real balancer, in front of endpoints that stop answering in time. */
class CongestionTest extends ProxyTestBase {
    private static final Pattern ADMISSION = Pattern.compile("admission (\\d+) ");

    private int refusedByAdmission() throws Exception {
        Matcher matcher = ADMISSION.matcher(OperatedTest.sendCommand(proxy.managementPort(), "refusals\n"));
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    @Test
    void unresponsiveOverloadedEndpointsAreNotTakenForIdle() throws Exception {
        // Guards against congestion that sustains itself: without responses there are no load reports, and the
        // balancer took that for spare capacity.
        AtomicBoolean congested = new AtomicBoolean();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            hosts.add(StandIns.endpointJson(
                    "s" + i,
                    startServer(request -> {
                                if (!congested.get()) {
                                    request.respond(200, "X-Load: {\"outstanding\":5}\r\n", "x");
                                }
                            })
                            .address(),
                    "in_service"));
        }
        discovery = closeAfterTest(new DiscoveryStandIn());
        String config = StandIns.configJson(
                        0, discovery.server.address(), "", StandIns.listJson(1, true, hosts.toArray(String[]::new)))
                .replace("{\"name\":\"n0\"", "{\"name\":\"n0\",\"management\":\"127.0.0.1:0\"")
                .replace("\"balancers\":3", "\"balancers\":100")
                .replace("\"onTimeUs\":20000000,\"deadlineUs\":20000000", "\"onTimeUs\":400000,\"deadlineUs\":400000");
        proxy = ClientProxy.start(Config.parse(config.getBytes(StandardCharsets.UTF_8)), Balancer::create);
        ClientProxy.openManagement(List.of(proxy));
        Client client = connectClient();
        int served = 0;
        for (int i = 0; served < 30; i++) {
            served += client.getSafe("before" + i, 400).read().status() == 200 ? 1 : 0;
        }
        congested.set(true);
        for (int i = 0; i < 20; i++) {
            assertEquals(503, client.getSafe("into" + i, 400).read().status());
        }
        int refusedBefore = refusedByAdmission();
        for (int i = 0; i < 10; i++) {
            assertEquals(503, client.getSafe("still" + i, 400).read().status());
        }
        int refused = refusedByAdmission() - refusedBefore;
        assertTrue(refused > 0, "some are refused under congestion");
        assertTrue(refused < 10, "some are sent, since the end of the congestion would go unnoticed otherwise");
    }
}
