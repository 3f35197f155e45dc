import java.util.List;

/** The configuration of a gateway at a small deployment like that of the till databases: one gateway, one set. */
final class Settings {
    /**
     * One class of requests.
     *
     * @param effect repeatable, by_key or once
     * @param read mutate, strong, causal, lag_bound or eventual
     */
    record Type(String name, int aimMs, int deadlineMs, String effect, int windowMs, double late, String read, int bound) {
        private String json() {
            return "{\"name\":\"" + name + "\",\"aimMs\":" + aimMs + ",\"deadlineMs\":" + deadlineMs + ",\"effect\":\""
                    + effect + "\",\"dedupScope\":\"cell\",\"dedupWindowMs\":" + windowMs + ",\"worth\":2,\"lateShare\":"
                    + late + ",\"stream\":false}";
        }
    }

    private Settings() {}

    /** The classes of the till databases; sales have the effect and the window that the case gives them. */
    static List<Type> tills(String effectOfSales, int windowMs) {
        return List.of(
                new Type("price-lookup", 300, 1200, "repeatable", 5000, 0.2, "lag_bound", 300),
                new Type("basket-read", 300, 1000, "repeatable", 5000, 0, "causal", 0),
                new Type("offer-rules", 500, 1500, "repeatable", 5000, 0, "eventual", 0),
                new Type("approval-check", 600, 2000, "repeatable", 5000, 0.2, "strong", 0),
                new Type("sale-close", 1500, 5000, effectOfSales, windowMs, 0.5, "mutate", 0));
    }

    static String configuration(String name, String listen, String discovery, String known, List<Type> types) {
        StringBuilder profiles = new StringBuilder();
        StringBuilder reads = new StringBuilder();
        StringBuilder bounds = new StringBuilder();
        for (Type type : types) {
            String comma = profiles.isEmpty() ? "" : ",";
            profiles.append(comma).append(type.json());
            reads.append(comma).append('"').append(type.read()).append('"');
            bounds.append(comma).append(type.bound());
        }
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\","
                + "\"seed\":\"8c1f30d27a5be964\",\n"
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
                + "\"known\":" + known + ",\n"
                + "\"settings\":{\"balancers\":1,\"selfIndex\":0,\"domainType\":\"replicas\",\"discovery\":\"automatic\","
                + "\"zones\":[\"ba-petrzalka\",\"za-bytcica\",\"ke-saca\"],\"zone\":0,\"kinds\":[\"c4-std\"],"
                + "\"tiers\":[\"till-db\"],\"tier\":0,\"tickMs\":5.0,\"accounts\":[],\n"
                + "\"profiles\":[" + profiles + "],\n"
                + "\"specifics\":{\"classRead\":[" + reads + "],\"oldestDataMs\":[" + bounds + "],"
                + "\"positions\":true,\"positionZeroMs\":0,\"checks\":\"silent\",\"waitMs\":0,\"tokens\":\"kept\","
                + "\"roleListed\":\"static\",\"sync\":false},\n"
                + "\"report\":{\"via\":\"piggyback\",\"fields\":[\"x0\",\"x1\",\"busy\"]},\n"
                + "\"callers\":{\"marksRetry\":false},\"valueBy\":\"request\",\"weights\":\"rough\",\n"
                + "\"policyLimits\":{\"sendCap\":6,\"cancel\":true,\"probes\":true,\"peerMessages\":false,"
                + "\"retryAfter\":true,\"maxRetryAfterMs\":500,\"connectTimeoutMs\":250,\"idleCloseMs\":15000,"
                + "\"mayDuplicate\":false,\"maxStreams\":1,\"maxOpen\":20000},\n"
                + "\"contract\":{\"answerSlackMs\":50,\"startCapacity\":0.15,\"coldMs\":13000,\"overloadFactor\":2,"
                + "\"overloadForMs\":1500,\"stopSendingWithinMs\":2000}}}\n";
    }
}
