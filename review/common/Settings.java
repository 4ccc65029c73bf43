package review;

import java.util.List;

/** The configuration of a client proxy of the small deployment: three client proxies, three data centres. */
final class Settings {
    /** Branches with their shares, as the operators' page has them. */
    static final String[] TENANTS = {"ulaanbaatar", "erdenet", "darkhan"};

    private Settings() {}

    static String config(Proxy proxy, int me, int balancers, String discovery, int version, List<Discovery.Entry> known) {
        String servers = String.join(",", known.stream().map(Discovery.Entry::json).toList());
        return """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":{"version":%d,"full":true,"servers":[%s]},
                 "settings":{"azs":["khan-uul","bayanzurkh","sukhbaatar"],"kinds":["new-2core","old-2core"],
                  "balancers":%d,"me":%d,"zone":0,"membershipMode":"subscribe","overShareWorth":0.1,
                  "customers":[{"name":"ulaanbaatar","share":0.4},{"name":"erdenet","share":0.3},
                   {"name":"darkhan","share":0.3}],
                  "classes":[
                   {"name":"invoice-lookup","effect":"retryable","onTimeUs":500000,"deadlineUs":1500000,"worth":1},
                   {"name":"advance-payout","effect":"fragile","onTimeUs":600000,"deadlineUs":2500000,"worth":8},
                   {"name":"invoice-submit","effect":"dedup","dedupScope":"zone","dedupWindowUs":20000000,
                    "onTimeUs":750000,"deadlineUs":4000000,"worth":5}],
                  "prices":{"probe":0.03,"crossZone":0.03,"waste":0.05,"lateFail":0.05},
                  "report":{"fields":["outstanding"],"source":"answers"},
                  "limits":{"maxAttempts":4,"mayCancel":true,"mayProbe":true,"mayTell":false,"secondCopies":false,
                   "retryAfter":true,"maxRetryAfterUs":2000000,"connIdleUs":5000000,"dialTimeoutUs":250000,
                   "streamsPerConn":1,"mostHeld":20000},
                  "contract":{"answerSlackUs":20000,"askWithinUs":10000000,"coldFrom":0.13,"coldUs":24000000,
                   "overloadFactor":4.0,"overloadForUs":3000000,"stopSendingWithinUs":250000}}}
                """
                .formatted(
                        proxy.name, proxy.port, discovery, 0x8c1f30d27a5be964L + me, version, servers, balancers, me);
    }
}
