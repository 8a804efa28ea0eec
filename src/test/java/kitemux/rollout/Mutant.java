package kitemux.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Deliberate defects, each with the invariant that it violates. */
enum Mutant implements Defect {
    BALLOTS_IGNORED(InvariantChecker.Invariant.ONE_HISTORY) {
        @Override
        public Request request(Request request, long turn) {
            // Raises the ballots so that the latest request always has the highest one.
            if (request instanceof Request.Prepare received) {
                return new Request.Prepare(received.rev(), raisedBallot(received.ballot(), turn));
            } else if (request instanceof Request.Accept received) {
                return new Request.Accept(received.rev(), raisedBallot(received.ballot(), turn), received.value());
            }
            return request;
        }

        @Override
        public Response response(Request request, Response response) {
            if (response instanceof Response.Promised promised) {
                return new Response.Promised(
                        promised.rev(),
                        loweredBallot(promised.ballot()),
                        loweredBallot(promised.acceptedBallot()),
                        promised.accepted());
            } else if (response instanceof Response.Accepted accepted) {
                return new Response.Accepted(accepted.rev(), loweredBallot(accepted.ballot()));
            }
            return response;
        }
    },
    PROMISE_NOT_SYNCED(InvariantChecker.Invariant.ONE_HISTORY) {
        @Override
        public boolean syncs(LogRecord entry) {
            return !(entry instanceof LogRecord.Voted voted) || voted.vote().accepted() != null;
        }
    },
    ACCEPTED_VALUE_IGNORED(InvariantChecker.Invariant.ONE_HISTORY) {
        @Override
        public Response response(Request request, Response response) {
            return response instanceof Response.Promised promised
                    ? new Response.Promised(promised.rev(), promised.ballot(), Ballot.NONE, null)
                    : response;
        }
    },
    EMPTY_FOLDER_VOTES(InvariantChecker.Invariant.ONE_HISTORY) {
        @Override
        public boolean keepsIdentityOfEmptyFolder() {
            return true;
        }
    },
    LOWER_VERSION_APPLIED(InvariantChecker.Invariant.MONOTONIC) {
        @Override
        public boolean forgetsVersionOnReconnect() {
            return true;
        }
    },
    SERVES_BEFORE_CAUGHT_UP(InvariantChecker.Invariant.MONOTONIC) {
        @Override
        public boolean servesBeforeCaughtUp() {
            return true;
        }

        @Override
        public WatchEvent event(WatchEvent event, Rules rules, Subscriber subscriber) {
            return event instanceof WatchEvent.NoQuorum ? new WatchEvent.Heartbeat() : event;
        }
    },
    PARTIAL_SNAPSHOT_APPLIED(InvariantChecker.Invariant.COMPLETE) {
        @Override
        public WatchEvent event(WatchEvent event, Rules rules, Subscriber subscriber) {
            return event instanceof WatchEvent.SnapshotPart part && part.part() == 1
                    ? new WatchEvent.SnapshotPart(part.rev(), 1, 1, part.set())
                    : event;
        }
    },
    PARTIAL_CHANGE_APPLIED(InvariantChecker.Invariant.COMPLETE) {
        @Override
        public WatchEvent event(WatchEvent event, Rules rules, Subscriber subscriber) {
            if (!(event instanceof WatchEvent.Update next)) {
                return event;
            }
            Map<String, String> after = new Change("", 0, next.set(), next.drop()).applyTo(subscriber.values());
            SortedMap<String, String> validChanges = new TreeMap<>(next.set());
            rules.validate(after).forEach(error -> validChanges.remove(error.path()));
            return new WatchEvent.Update(next.rev(), validChanges, next.drop());
        }
    },
    WATCH_TIMEOUT_TOO_LONG(InvariantChecker.Invariant.TIMELY) {
        @Override
        public ProtocolParameters parameters(ProtocolParameters original) {
            return withParameters(
                    original,
                    100,
                    original.rateBytesPerSecond(),
                    original.initialBurstBytes(),
                    original.snapshotPartBytes());
        }
    },
    SAME_KEEPER_RETRIED(InvariantChecker.Invariant.TIMELY) {
        @Override
        public int watchedKeeper(int node, int drawn) {
            return node % SimulatedFleet.KEEPER_COUNT;
        }
    },
    HEARTBEATS_BLOCKED_BY_SNAPSHOT(InvariantChecker.Invariant.TIMELY) {
        @Override
        public ProtocolParameters parameters(ProtocolParameters original) {
            return withParameters(original, 1, original.rateBytesPerSecond(), original.initialBurstBytes(), 7_600);
        }

        @Override
        public boolean sendsEvent(WatchEvent event, boolean snapshotInProgress) {
            return !snapshotInProgress || event instanceof WatchEvent.SnapshotPart;
        }
    },
    REPORT_BEFORE_APPLIED(InvariantChecker.Invariant.TRUTHFUL) {
        @Override
        public boolean reportsBeforeApplied() {
            return true;
        }
    },
    EARLIER_INCARNATION_COUNTED(InvariantChecker.Invariant.TRUTHFUL) {
        @Override
        public Report report(Report original) {
            return new Report(original.node(), 0, original.rev(), original.pendingRestart(), original.rejections());
        }
    },
    CONFIRMED_AFTER_TWO_ACCEPTANCES(InvariantChecker.Invariant.DURABLE) {
        @Override
        public int duplicateSender(int from, Response response) {
            return !(response instanceof Response.Accepted) ? -1 : from == 0 ? 1 : 0;
        }
    },
    RESPONSE_BEFORE_SYNC(InvariantChecker.Invariant.DURABLE) {
        @Override
        public boolean waitsForSync() {
            return false;
        }
    },
    NO_RATE_LIMIT(InvariantChecker.Invariant.RATE_LIMITED) {
        @Override
        public ProtocolParameters parameters(ProtocolParameters original) {
            return withParameters(original, 1, 1_000_000, original.initialBurstBytes(), original.snapshotPartBytes());
        }
    },
    RATE_LIMIT_RESET_ON_RECONNECT(InvariantChecker.Invariant.RATE_LIMITED) {
        @Override
        public ProtocolParameters parameters(ProtocolParameters original) {
            return withParameters(
                    original, 1, original.rateBytesPerSecond(), original.burstBytes(), original.snapshotPartBytes());
        }
    },
    VALIDATION_SKIPPED_AT_KEEPER(InvariantChecker.Invariant.VALID) {
        @Override
        public Rules keeperRules(Rules rules) {
            return new Rules() {
                @Override
                public List<ValidationError> validate(Map<String, String> values) {
                    return List.of();
                }

                @Override
                public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
                    return rules.pathsNeedingRestart(first, next);
                }
            };
        }
    },
    REJECTION_WITHOUT_PATH(InvariantChecker.Invariant.VALID) {
        @Override
        public Report report(Report original) {
            return new Report(
                    original.node(),
                    original.incarnation(),
                    original.rev(),
                    original.pendingRestart(),
                    original.rejections().stream()
                            .map(each -> new Report.Rejection(each.rev(), "", each.reason()))
                            .toList());
        }
    };

    private static final long ROUND_OFFSET = 1_000_000;
    final InvariantChecker.Invariant invariant;

    Mutant(InvariantChecker.Invariant invariant) {
        this.invariant = invariant;
    }

    private static Ballot raisedBallot(Ballot ballot, long turn) {
        return new Ballot(ballot.round() + turn * ROUND_OFFSET, ballot.keeper());
    }

    private static Ballot loweredBallot(Ballot ballot) {
        return new Ballot(ballot.round() % ROUND_OFFSET, ballot.keeper());
    }

    private static ProtocolParameters withParameters(
            ProtocolParameters original, int timeoutFactor, long paceBytes, long paceFirst, int partBytes) {
        return new ProtocolParameters(
                original.heartbeatIntervalUs(),
                timeoutFactor * original.minWatchTimeoutUs(),
                timeoutFactor * original.maxWatchTimeoutUs(),
                original.connectTimeoutUs(),
                original.minBackoffUs(),
                original.initialMaxBackoffUs(),
                original.maxBackoffUs(),
                original.noQuorumRetryUs(),
                original.reportIntervalUs(),
                original.reportTimeoutUs(),
                original.minPhaseTimeoutUs(),
                original.maxPhaseTimeoutUs(),
                original.maxBallots(),
                original.proposalTimeoutUs(),
                original.fetchIntervalUs(),
                original.voterTimeoutUs(),
                original.recoveryDelayUs(),
                paceBytes,
                original.burstBytes(),
                paceFirst,
                partBytes);
    }
}
