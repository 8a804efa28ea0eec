package kitemux.fleet;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kitemux.Balancer;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;

/**
 * A deliberate defect: a module that warms cold servers up with all that the settings let come to them, as if
 * its node were the only one.
 */
public final class PerNodeBudgetBalancer {
    private final Settings set;
    private final double meanWorkUs;
    private final Map<String, Long> starts = new HashMap<>();
    private final Map<String, ArrayDeque<Long>> sent = new HashMap<>();
    private final Set<Long> begun = new HashSet<>();
    private long nowUs;

    private PerNodeBudgetBalancer(Settings set, double meanWorkUs) {
        this.set = set;
        this.meanWorkUs = meanWorkUs;
    }

    /**
     * The module that serves in earnest, with this defect.
     *
     * @param meanWorkUs mean work of a request, on a core of speed 1
     */
    public static Balancer create(Settings set, long seed, Balancer.Actions out, double meanWorkUs) {
        PerNodeBudgetBalancer defect = new PerNodeBudgetBalancer(set, meanWorkUs);
        Balancer.Actions asked = around(Balancer.Actions.class, out, (method, args) -> {
            if (method.getName().equals("send")) {
                args[1] = defect.instead((Long) args[0], (String) args[1]);
            }
        });
        return around(Balancer.class, new ServiceQBalancer(set, seed, asked), defect::told);
    }

    private interface Before {
        void call(Method method, Object[] args);
    }

    private static <T> T around(Class<T> type, T sound, Before before) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, args) -> {
            before.call(method, args);
            try {
                return method.invoke(sound, args);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        }));
    }

    @SuppressWarnings("unchecked")
    private void told(Method method, Object[] args) {
        if (args != null && args[0] instanceof Long now) {
            nowUs = now;
        }
        if (method.getName().equals("onServers")) {
            for (ServerEntry entry : (List<ServerEntry>) args[2]) {
                if (entry.state() == ServerState.READY && entry.startedAtUs() > 0) {
                    starts.put(entry.id(), entry.startedAtUs());
                } else {
                    starts.remove(entry.id());
                }
            }
        }
    }

    /** Where a request goes: to the first cold server that this node alone has not sent all that may come. */
    private String instead(long request, String server) {
        if (begun.add(request)) {
            for (Map.Entry<String, Long> start : starts.entrySet()) {
                double age = (double) (nowUs - start.getValue()) / set.warmUpUs;
                double share = set.coldCapacityRatio + (1 - set.coldCapacityRatio) * age;
                ArrayDeque<Long> mine = sent.computeIfAbsent(start.getKey(), id -> new ArrayDeque<>());
                while (!mine.isEmpty() && mine.peek() <= nowUs - set.overloadWindowUs) {
                    mine.poll();
                }
                if (age < 1 && mine.size() + 1 <= set.overloadRatio * share * set.overloadWindowUs / meanWorkUs) {
                    mine.add(nowUs);
                    return start.getKey();
                }
            }
        }
        return server;
    }
}
