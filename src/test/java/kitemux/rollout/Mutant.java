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
        public Answer answer(Request request, Answer answer) {
            if (answer instanceof Answer.Promised a) {
                return new Answer.Promised(a.rev(), lowered(a.ballot()), lowered(a.acceptedAt()), a.accepted());
            } else if (answer instanceof Answer.Accepted a) {
                return new Answer.Accepted(a.rev(), lowered(a.ballot()));
            }
            return answer;
        }
    },
    PROMISE_NOT_SYNCED(Judge.Promise.ONE_HISTORY) {
        @Override
        public boolean syncs(Kept kept) {
            return !(kept instanceof Kept.Voted voted) || voted.vote().accepted() != null;
        }
    },
    ACCEPTED_VALUE_NOT_TAKEN_UP(Judge.Promise.ONE_HISTORY) {
        @Override
        public Answer answer(Request request, Answer answer) {
            return answer instanceof Answer.Promised a
                    ? new Answer.Promised(a.rev(), a.ballot(), Ballot.NONE, null)
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
        public Line line(Line line, Rules rules, Subscriber subscriber) {
            return line instanceof Line.Alone ? new Line.Beat() : line;
        }
    },
    PART_OF_A_WHOLE_IN_FORCE(Judge.Promise.WHOLE) {
        @Override
        public Line line(Line line, Rules rules, Subscriber subscriber) {
            return line instanceof Line.Part part && part.part() == 1
                    ? new Line.Part(part.rev(), 1, 1, part.set())
                    : line;
        }
    },
    HALF_OF_A_CHANGE_AFTER_A_FAULT(Judge.Promise.WHOLE) {
        @Override
        public Line line(Line line, Rules rules, Subscriber subscriber) {
            if (!(line instanceof Line.Next next)) {
                return line;
            }
            Map<String, String> after = new Change("", 0, next.set(), next.drop()).appliedTo(subscriber.values());
            SortedMap<String, String> sound = new TreeMap<>(next.set());
            rules.faults(after).forEach(fault -> sound.remove(fault.path()));
            return new Line.Next(next.rev(), sound, next.drop());
        }
    },
    NO_PATIENCE(Judge.Promise.TIMELY) {
        @Override
        public Terms terms(Terms t) {
            return with(t, 100, t.paceBytes(), t.paceFirst(), t.partBytes());
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
        public Terms terms(Terms t) {
            return with(t, 1, t.paceBytes(), t.paceFirst(), 7_600);
        }

        @Override
        public boolean writes(Line line, boolean wholeUnderWay) {
            return !wholeUnderWay || line instanceof Line.Part;
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
            return new Report(r.node(), 0, r.rev(), r.waitRestart(), r.refused());
        }
    },
    ANSWER_AFTER_TWO_ACCEPTANCES(Judge.Promise.DURABLE) {
        @Override
        public int alsoFrom(int from, Answer answer) {
            return !(answer instanceof Answer.Accepted) ? -1 : from == 0 ? 1 : 0;
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
        public Terms terms(Terms t) {
            return with(t, 1, 1_000_000, t.paceFirst(), t.partBytes());
        }
    },
    PACE_FORGOTTEN_AFTER_A_REDIAL(Judge.Promise.PACED) {
        @Override
        public Terms terms(Terms t) {
            return with(t, 1, t.paceBytes(), t.paceAtOnce(), t.partBytes());
        }
    },
    CHECK_SKIPPED_AT_THE_KEEPER(Judge.Promise.SOUND) {
        @Override
        public Rules keeperRules(Rules rules) {
            return new Rules() {
                @Override
                public List<Fault> faults(Map<String, String> whole) {
                    return List.of();
                }

                @Override
                public Set<String> waitRestart(Map<String, String> first, Map<String, String> next) {
                    return rules.waitRestart(first, next);
                }
            };
        }
    },
    FAULT_TOLD_WITHOUT_PATH(Judge.Promise.SOUND) {
        @Override
        public Report report(Report r) {
            return new Report(
                    r.node(),
                    r.life(),
                    r.rev(),
                    r.waitRestart(),
                    r.refused().stream()
                            .map(each -> new Report.Refusal(each.rev(), "", each.reason()))
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

    private static Terms with(Terms t, int patience, long paceBytes, long paceFirst, int partBytes) {
        return new Terms(
                t.beatUs(),
                patience * t.leastPatienceUs(),
                patience * t.mostPatienceUs(),
                t.dialUs(),
                t.leastWaitUs(),
                t.mostWaitUs(),
                t.longestWaitUs(),
                t.aloneTryUs(),
                t.reportUs(),
                t.silentUs(),
                t.leastPhaseUs(),
                t.mostPhaseUs(),
                t.tries(),
                t.triesUs(),
                t.pulseUs(),
                t.heardUs(),
                t.finishUs(),
                paceBytes,
                t.paceAtOnce(),
                paceFirst,
                partBytes);
    }
}
