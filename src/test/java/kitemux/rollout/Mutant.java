package kitemux.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Deliberate defects, each with the promise that it breaks. */
enum Mutant implements Defect {
    BALLOTS_IGNORED(Judge.Promise.ONE_HISTORY) {
        @Override
        public Request asked(Request request, long turn) {
            // Whoever comes last has the highest ballot.
            if (request instanceof Request.Prepare asked) {
                return new Request.Prepare(asked.rev(), raised(asked.ballot(), turn));
            } else if (request instanceof Request.Accept asked) {
                return new Request.Accept(asked.rev(), raised(asked.ballot(), turn), asked.value());
            }
            return request;
        }

        @Override
        public Response answer(Request request, Response answer) {
            if (answer instanceof Response.Promised a) {
                return new Response.Promised(a.rev(), lowered(a.ballot()), lowered(a.acceptedBallot()), a.accepted());
            } else if (answer instanceof Response.Accepted a) {
                return new Response.Accepted(a.rev(), lowered(a.ballot()));
            }
            return answer;
        }
    },
    PROMISE_NOT_SYNCED(Judge.Promise.ONE_HISTORY) {
        @Override
        public boolean syncs(LogRecord kept) {
            return !(kept instanceof LogRecord.Voted voted) || voted.vote().accepted() != null;
        }
    },
    ACCEPTED_VALUE_NOT_TAKEN_UP(Judge.Promise.ONE_HISTORY) {
        @Override
        public Response answer(Request request, Response answer) {
            return answer instanceof Response.Promised a
                    ? new Response.Promised(a.rev(), a.ballot(), Ballot.NONE, null)
                    : answer;
        }
    },
    EMPTY_FOLDER_VOTES(Judge.Promise.ONE_HISTORY) {
        @Override
        public boolean keepsIdentity() {
            return true;
        }
    },
    LOWER_VERSION_TAKEN(Judge.Promise.MONOTONIC) {
        @Override
        public boolean forgets() {
            return true;
        }
    },
    SERVES_BEFORE_IT_HAS_CAUGHT_UP(Judge.Promise.MONOTONIC) {
        @Override
        public boolean servesAtOnce() {
            return true;
        }

        @Override
        public WatchEvent line(WatchEvent line, Rules rules, Subscriber subscriber) {
            return line instanceof WatchEvent.NoQuorum ? new WatchEvent.Heartbeat() : line;
        }
    },
    PART_OF_A_WHOLE_IN_FORCE(Judge.Promise.WHOLE) {
        @Override
        public WatchEvent line(WatchEvent line, Rules rules, Subscriber subscriber) {
            return line instanceof WatchEvent.SnapshotPart part && part.part() == 1
                    ? new WatchEvent.SnapshotPart(part.rev(), 1, 1, part.set())
                    : line;
        }
    },
    HALF_OF_A_CHANGE_AFTER_A_FAULT(Judge.Promise.WHOLE) {
        @Override
        public WatchEvent line(WatchEvent line, Rules rules, Subscriber subscriber) {
            if (!(line instanceof WatchEvent.Update next)) {
                return line;
            }
            Map<String, String> after = new Change("", 0, next.set(), next.drop()).applyTo(subscriber.values());
            SortedMap<String, String> sound = new TreeMap<>(next.set());
            rules.validate(after).forEach(fault -> sound.remove(fault.path()));
            return new WatchEvent.Update(next.rev(), sound, next.drop());
        }
    },
    NO_PATIENCE(Judge.Promise.TIMELY) {
        @Override
        public ProtocolParameters terms(ProtocolParameters t) {
            return with(t, 100, t.rateBytesPerSecond(), t.initialBurstBytes(), t.snapshotPartBytes());
        }
    },
    SAME_KEEPER_REDIALED(Judge.Promise.TIMELY) {
        @Override
        public int dialed(int node, int drawn) {
            return node % Fleet.KEEPERS;
        }
    },
    BEATS_BEHIND_A_LONG_WHOLE(Judge.Promise.TIMELY) {
        @Override
        public ProtocolParameters terms(ProtocolParameters t) {
            return with(t, 1, t.rateBytesPerSecond(), t.initialBurstBytes(), 7_600);
        }

        @Override
        public boolean writes(WatchEvent line, boolean wholeUnderWay) {
            return !wholeUnderWay || line instanceof WatchEvent.SnapshotPart;
        }
    },
    REPORT_BEFORE_IT_IS_IN_FORCE(Judge.Promise.TRUTHFUL) {
        @Override
        public boolean reportsEarly() {
            return true;
        }
    },
    EARLIER_LIFE_COUNTED(Judge.Promise.TRUTHFUL) {
        @Override
        public Report report(Report r) {
            return new Report(r.node(), 0, r.rev(), r.pendingRestart(), r.rejections());
        }
    },
    ANSWER_AFTER_TWO_ACCEPTANCES(Judge.Promise.DURABLE) {
        @Override
        public int alsoFrom(int from, Response answer) {
            return !(answer instanceof Response.Accepted) ? -1 : from == 0 ? 1 : 0;
        }
    },
    ANSWER_BEFORE_THE_SYNC(Judge.Promise.DURABLE) {
        @Override
        public boolean waitsForSync() {
            return false;
        }
    },
    NO_PACE(Judge.Promise.PACED) {
        @Override
        public ProtocolParameters terms(ProtocolParameters t) {
            return with(t, 1, 1_000_000, t.initialBurstBytes(), t.snapshotPartBytes());
        }
    },
    PACE_FORGOTTEN_AFTER_A_REDIAL(Judge.Promise.PACED) {
        @Override
        public ProtocolParameters terms(ProtocolParameters t) {
            return with(t, 1, t.rateBytesPerSecond(), t.burstBytes(), t.snapshotPartBytes());
        }
    },
    CHECK_SKIPPED_AT_THE_KEEPER(Judge.Promise.SOUND) {
        @Override
        public Rules keeperRules(Rules rules) {
            return new Rules() {
                @Override
                public List<ValidationError> validate(Map<String, String> whole) {
                    return List.of();
                }

                @Override
                public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
                    return rules.pathsNeedingRestart(first, next);
                }
            };
        }
    },
    FAULT_TOLD_WITHOUT_PATH(Judge.Promise.SOUND) {
        @Override
        public Report report(Report r) {
            return new Report(
                    r.node(),
                    r.incarnation(),
                    r.rev(),
                    r.pendingRestart(),
                    r.rejections().stream()
                            .map(each -> new Report.Rejection(each.rev(), "", each.reason()))
                            .toList());
        }
    };

    private static final long RAISED = 1_000_000;
    final Judge.Promise promise;

    Mutant(Judge.Promise promise) {
        this.promise = promise;
    }

    private static Ballot raised(Ballot ballot, long turn) {
        return new Ballot(ballot.round() + turn * RAISED, ballot.keeper());
    }

    private static Ballot lowered(Ballot ballot) {
        return new Ballot(ballot.round() % RAISED, ballot.keeper());
    }

    private static ProtocolParameters with(
            ProtocolParameters t, int patience, long paceBytes, long paceFirst, int partBytes) {
        return new ProtocolParameters(
                t.heartbeatIntervalUs(),
                patience * t.minWatchTimeoutUs(),
                patience * t.maxWatchTimeoutUs(),
                t.connectTimeoutUs(),
                t.minBackoffUs(),
                t.initialMaxBackoffUs(),
                t.maxBackoffUs(),
                t.noQuorumRetryUs(),
                t.reportIntervalUs(),
                t.reportTimeoutUs(),
                t.minPhaseTimeoutUs(),
                t.maxPhaseTimeoutUs(),
                t.maxBallots(),
                t.proposalTimeoutUs(),
                t.fetchIntervalUs(),
                t.voterTimeoutUs(),
                t.recoveryDelayUs(),
                paceBytes,
                t.burstBytes(),
                paceFirst,
                partBytes);
    }
}
