package kitemux.world;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.engine.Transport;
import kitemux.http.ClientRequest;
import kitemux.net.ServerResponse;

/** Deliberate defects, each with the rule that it breaks and the kind of world that it is looked for in. */
enum Mutant implements Defect {
    UNSAFE_RETRIED_AFTER_RESET(Rule.EFFECTS, "reset-before-answer") {
        @Override
        public Balancer told(Balancer module) {
            return new Told(module) {
                @Override
                public void onOutcome(long nowUs, Outcome o) {
                    super.onOutcome(
                            nowUs,
                            o.result() != Result.RESET
                                    ? o
                                    : new Outcome(
                                            o.requestId(),
                                            o.attempt(),
                                            Result.CONNECT_FAILED,
                                            o.latencyUs(),
                                            o.requestEnded(),
                                            o.report()));
                }
            };
        }
    },
    TIMEOUT_TAKEN_FOR_NEVER_SENT(Rule.EFFECTS, "boxes-die-at-restart") {
        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Carried(sound) {
                @Override
                public boolean abandon(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    super.abandon(serverId, exchange);
                    return false;
                }
            };
        }
    },
    REFUSED_THOUGH_IT_MAY_HAVE_RUN(Rule.EFFECTS, "reset-before-answer") {
        @Override
        public Function<Balancer.Actions, Balancer> module(Function<Balancer.Actions, Balancer> sound) {
            return out -> sound.apply(new Asked(out) {
                @Override
                public void fail(long requestId) {
                    refuse(requestId, 0);
                }
            });
        }
    },
    SENT_TWICE_AT_ONCE(Rule.EFFECTS, "calm") {
        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Carried(sound) {
                @Override
                public void start(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    super.start(serverId, exchange);
                    if (exchange.request().classIndex() == 2) {
                        super.start(serverId, new Unheard(exchange));
                    }
                }
            };
        }
    },
    SENT_TOO_OFTEN(Rule.EFFECTS, "calm") {
        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Carried(sound) {
                @Override
                public void start(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    super.start(serverId, exchange);
                    for (int i = 0; i < 4 && exchange.request().classIndex() == 0; i++) {
                        super.start(serverId, new Unheard(exchange));
                    }
                }
            };
        }
    },
    SECOND_COPY_WHERE_NONE_MAY_BE(Rule.EFFECTS, "random") {
        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Carried(sound) {
                @Override
                public void start(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    super.start(serverId, exchange);
                    if (exchange.request().classIndex() == 0) {
                        super.start(serverId, new Unheard(exchange));
                    }
                }
            };
        }
    },
    KEYED_REPEATED_OUTSIDE_ITS_RACK(Rule.EFFECTS, "reset-before-answer") {
        @Override
        public Function<Balancer.Actions, Balancer> module(Function<Balancer.Actions, Balancer> sound) {
            Map<String, Integer> cells = new HashMap<>();
            return out ->
                    new Told(sound.apply(new Asked(out) {
                        private final Map<Long, Integer> first = new HashMap<>();

                        @Override
                        public void send(long requestId, String serverId, long untilUs) {
                            Integer cell = first.putIfAbsent(requestId, cells.get(serverId));
                            String other = cells.keySet().stream()
                                    .sorted()
                                    .filter(s -> cell != null && !cells.get(s).equals(cell))
                                    .findFirst()
                                    .orElse(serverId);
                            super.send(requestId, other, untilUs);
                        }
                    })) {
                        @Override
                        public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
                            entries.forEach(e -> cells.put(e.id(), e.cell()));
                            super.onServers(nowUs, kind, entries);
                        }
                    };
        }
    },
    KEYED_REPEATED_AFTER_ITS_WINDOW(Rule.EFFECTS, "window-ends") {
        @Override
        public Balancer.Settings settings(Balancer.Settings sound) {
            Balancer.Settings set = new Balancer.Settings();
            sound.classes.forEach(c -> set.classes.add(new Balancer.RequestClass(
                    c.name(),
                    c.targetLatencyUs(),
                    c.targetLatencyPerWork(),
                    c.deadlineUs(),
                    c.worth(),
                    c.lateWorth(),
                    c.retrySafety(),
                    c.dedupScope(),
                    10_000_000,
                    c.stream())));
            set.tenants.addAll(sound.tenants);
            set.zones.addAll(sound.zones);
            set.maxAttempts = sound.maxAttempts;
            set.cancellationAllowed = true;
            set.listOnRequest = true;
            set.nodes = sound.nodes;
            return set;
        }
    },
    DEAF_TO_DRAINS(Rule.DRAINS, "old-list") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            replaceRead(channel, !accepted, "\"Terminating\"", "\"Ready\"      ");
        }
    },
    COLD_SERVERS_PREFERRED(Rule.COLD, "all-silent-then-cold") {
        @Override
        public Function<Balancer.Actions, Balancer> module(Function<Balancer.Actions, Balancer> sound) {
            Map<String, Long> starts = new HashMap<>();
            return out ->
                    new Told(sound.apply(new Asked(out) {
                        @Override
                        public void send(long requestId, String serverId, long untilUs) {
                            String newest = starts.keySet().stream()
                                    .sorted()
                                    .reduce((a, b) -> starts.get(b) > starts.get(a) ? b : a)
                                    .orElse(serverId);
                            super.send(requestId, starts.get(newest) > 0 ? newest : serverId, untilUs);
                        }
                    })) {
                        @Override
                        public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
                            entries.forEach(e -> starts.put(e.id(), e.startedAtUs()));
                            super.onServers(nowUs, kind, entries);
                        }
                    };
        }
    },
    NO_FINAL_ANSWER(Rule.ANSWERED, "random") {
        @Override
        public Function<Balancer.Actions, Balancer> module(Function<Balancer.Actions, Balancer> sound) {
            return out -> sound.apply(new Asked(out) {
                @Override
                public void fail(long requestId) {}
            });
        }
    },
    TWO_FINAL_ANSWERS(Rule.ANSWERED, "random") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            if (accepted) {
                channel.pipeline().addFirst(new ChannelDuplexHandler() {
                    @Override
                    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                        boolean failed = text(message).startsWith("HTTP/1.1 502");
                        Object again = failed ? ((ByteBuf) message).copy() : null;
                        context.write(message, promise);
                        if (failed) {
                            context.write(again);
                        }
                    }
                });
            }
        }
    },
    ANSWERED_TOO_LATE(Rule.ANSWERED, "random") {
        @Override
        public Balancer told(Balancer module) {
            return new Told(module) {
                @Override
                public void onRequest(long nowUs, Request r) {
                    // Nor is it told how late it was read: a module that knows refuses most of them at once.
                    super.onRequest(
                            nowUs,
                            new Request(
                                    r.id(),
                                    r.classIndex(),
                                    r.tenant(),
                                    r.remainingUs() + 500_000,
                                    r.workUs(),
                                    r.retry(),
                                    r.key()));
                }
            };
        }
    },
    CLOSED_ON_A_REQUEST(Rule.ANSWERED, "calm") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            if (accepted) {
                channel.pipeline().addFirst(new ChannelDuplexHandler() {
                    private int reads;

                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        if (++reads == 5) {
                            ((ByteBuf) message).release();
                            context.close();
                        } else {
                            context.fireChannelRead(message);
                        }
                    }
                });
            }
        }
    },
    SENT_AFTER_THE_ANSWER(Rule.ANSWERED, "calm") {
        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Carried(sound) {
                private final List<Exchange<ClientRequest, ServerResponse>> over = new ArrayList<>();
                private final Set<String> again = new HashSet<>();

                @Override
                public void start(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    super.start(serverId, exchange);
                    // By then it has long been answered.
                    if (exchange.request().classIndex() == 0) {
                        over.add(exchange);
                    }
                    if (over.size() > 50) {
                        Exchange<ClientRequest, ServerResponse> old = over.remove(0);
                        if (again.add(old.request().txn())) {
                            super.start(serverId, new Unheard(old));
                        }
                    }
                }
            };
        }
    },
    SENT_ON_FOR_ONE_THAT_LEFT(Rule.GONE, "random") {
        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Carried(sound) {
                private final List<Exchange<ClientRequest, ServerResponse>> givenUp = new ArrayList<>();

                @Override
                public void start(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    super.start(serverId, exchange);
                    if (givenUp.size() > 5) {
                        super.start(serverId, new Unheard(givenUp.remove(0)));
                    }
                }

                @Override
                public boolean abandon(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    givenUp.add(exchange);
                    return super.abandon(serverId, exchange);
                }
            };
        }
    },
    ANSWER_CHANGED(Rule.ANSWERED, "calm") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            replaceRead(channel, !accepted, "aaaaaaaaaa", "aaaaaaaaab");
        }
    },
    REQUEST_CHANGED(Rule.UNCHANGED, "calm") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            replaceRead(channel, accepted, "?page=", "?qage=");
        }
    },
    TOLD_TO_COME_BACK_MUCH_LATER(Rule.UNCHANGED, "random") {
        @Override
        public Function<Balancer.Actions, Balancer> module(Function<Balancer.Actions, Balancer> sound) {
            return out -> sound.apply(new Asked(out) {
                @Override
                public void refuse(long requestId, long retryAfterUs) {
                    super.refuse(requestId, retryAfterUs * 100);
                }
            });
        }
    },
    END_TOLD_TWICE(Rule.ENDS, "calm") {
        @Override
        public Balancer told(Balancer module) {
            return new Told(module) {
                @Override
                public void onOutcome(long nowUs, Outcome outcome) {
                    super.onOutcome(nowUs, outcome);
                    if (outcome.requestId() % 100 == 99) {
                        super.onOutcome(nowUs, outcome);
                    }
                }
            };
        }
    },
    END_NEVER_TOLD(Rule.ENDS, "calm") {
        @Override
        public Balancer told(Balancer module) {
            return new Told(module) {
                @Override
                public void onOutcome(long nowUs, Outcome outcome) {
                    if (outcome.requestId() % 100 != 99) {
                        super.onOutcome(nowUs, outcome);
                    }
                }
            };
        }
    },
    ATTEMPT_LEAKED(Rule.FLIGHT, "random") {
        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Carried(sound) {
                @Override
                public boolean abandon(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    return true;
                }
            };
        }
    },
    CONNECTION_LEFT_OPEN(Rule.LEFT_OVER, "calm") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            if (!accepted) {
                channel.pipeline().addFirst(new ChannelDuplexHandler() {
                    @Override
                    public void close(ChannelHandlerContext context, ChannelPromise promise) {
                        promise.setSuccess();
                    }
                });
            }
        }
    },
    BUFFER_KEPT(Rule.LEFT_OVER, "calm") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            channel.pipeline().addFirst(new ChannelDuplexHandler() {
                private int reads;

                @Override
                public void channelRead(ChannelHandlerContext context, Object message) {
                    if (++reads == 3) {
                        ((ByteBuf) message).retain();
                    }
                    context.fireChannelRead(message);
                }
            });
        }
    },
    TIMER_LEFT(Rule.LEFT_OVER, "calm") {
        @Override
        public void opened(Channel channel, boolean accepted) {
            channel.pipeline().addFirst(new ChannelDuplexHandler() {
                @Override
                public void channelActive(ChannelHandlerContext context) {
                    context.executor().schedule(() -> {}, 1, TimeUnit.HOURS);
                    context.fireChannelActive();
                }
            });
        }
    };

    final Rule rule;
    final String kind;

    Mutant(Rule rule, String kind) {
        this.rule = rule;
        this.kind = kind;
    }

    private static String text(Object message) {
        return message instanceof ByteBuf bytes ? bytes.toString(StandardCharsets.ISO_8859_1) : "";
    }

    /** Replaces text of the same length in what is read, where it comes in one piece. */
    private static void replaceRead(Channel channel, boolean here, String what, String by) {
        if (here) {
            channel.pipeline().addFirst(new ChannelDuplexHandler() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object message) {
                    String text = text(message);
                    for (int at = text.indexOf(what); at >= 0; at = text.indexOf(what, at + what.length())) {
                        ByteBuf bytes = (ByteBuf) message;
                        bytes.setCharSequence(bytes.readerIndex() + at, by, StandardCharsets.ISO_8859_1);
                    }
                    context.fireChannelRead(message);
                }
            });
        }
    }

    /** Sent like another, with nobody to hear its end. */
    private record Unheard(Transport.Exchange<ClientRequest, ServerResponse> like)
            implements Transport.Exchange<ClientRequest, ServerResponse> {
        @Override
        public ClientRequest request() {
            return like.request();
        }

        @Override
        public long expiresAtUs() {
            return like.expiresAtUs();
        }

        @Override
        public void onEnded(Result result, ServerResponse answer) {}
    }

    /** Passes all on. */
    private static class Carried implements Transport<ClientRequest, ServerResponse> {
        private final Transport<ClientRequest, ServerResponse> sound;

        Carried(Transport<ClientRequest, ServerResponse> sound) {
            this.sound = sound;
        }

        @Override
        public void start(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
            sound.start(serverId, exchange);
        }

        @Override
        public boolean abandon(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
            return sound.abandon(serverId, exchange);
        }

        @Override
        public boolean withdraw(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
            return sound.withdraw(serverId, exchange);
        }

        @Override
        public ClientRequest probeRequest() {
            return sound.probeRequest();
        }

        @Override
        public String endpoint(String serverId) {
            return sound.endpoint(serverId);
        }

        @Override
        public void closeIdle(String serverId) {
            sound.closeIdle(serverId);
        }
    }

    /** Passes all on that a module asks for. */
    private static class Asked implements Balancer.Actions {
        private final Balancer.Actions out;

        Asked(Balancer.Actions out) {
            this.out = out;
        }

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            out.send(requestId, serverId, untilUs);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            out.cancel(requestId, attempt);
        }

        @Override
        public void refuse(long requestId, long retryAfterUs) {
            out.refuse(requestId, retryAfterUs);
        }

        @Override
        public void fail(long requestId) {
            out.fail(requestId);
        }

        @Override
        public void wakeAt(long atUs) {
            out.wakeAt(atUs);
        }

        @Override
        public void probe(String serverId) {
            out.probe(serverId);
        }

        @Override
        public void closeIdle(String serverId) {
            out.closeIdle(serverId);
        }

        @Override
        public void subscribe() {
            out.subscribe();
        }

        @Override
        public void log(String line) {
            out.log(line);
        }
    }

    /** Passes all on that a module is told. */
    private static class Told implements Balancer {
        private final Balancer module;

        Told(Balancer module) {
            this.module = module;
        }

        @Override
        public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
            module.onServers(nowUs, kind, entries);
        }

        @Override
        public void onListFailed(long nowUs) {
            module.onListFailed(nowUs);
        }

        @Override
        public void onRequest(long nowUs, Request request) {
            module.onRequest(nowUs, request);
        }

        @Override
        public void onOutcome(long nowUs, Outcome outcome) {
            module.onOutcome(nowUs, outcome);
        }

        @Override
        public void onFirstByte(long nowUs, long requestId, int attempt) {
            module.onFirstByte(nowUs, requestId, attempt);
        }

        @Override
        public boolean mayWrite(long nowUs, long requestId, int attempt) {
            return module.mayWrite(nowUs, requestId, attempt);
        }

        @Override
        public void onClientGone(long nowUs, long requestId) {
            module.onClientGone(nowUs, requestId);
        }

        @Override
        public void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report) {
            module.onProbe(nowUs, serverId, result, latencyUs, report);
        }

        @Override
        public void onWake(long nowUs) {
            module.onWake(nowUs);
        }
    }
}
