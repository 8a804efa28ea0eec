/**
 * Configuration told to all nodes, and known to be in force. Pure: events come with the time in microseconds,
 * effects come out; it opens no socket or file, reads no clock, has no thread, and draws from seeds. All of
 * one machine is called on one thread. {@code docs/design/capacity.md} says why it is so.
 *
 * <p>A carrier has one {@link kitemux.rollout.KeeperMachine} at a keeper, one {@link
 * kitemux.rollout.Subscriber} at a node. It calls an event's method, then carries the effects out in their
 * order, and arms one timer for {@code nextAtUs()}, at which it calls {@code tick}; after each event it arms
 * it anew. What is passed on is bytes by {@link kitemux.rollout.RolloutText}.
 *
 * <p><b>What has to be synced before which answer goes out.</b> {@link kitemux.rollout.Effect.Write} is
 * written behind all earlier ones. Its {@code then} (a promise, an acceptance) goes out only once it and all
 * before it are on disk: sync first, answer second, with no exception; three such answers are what an
 * operator's 200 rests on. An effect outside of a {@code then} waits for no sync. A chosen version's {@code
 * then} is empty: three voters have it on disk already; it must only stand before what is written later. A
 * write that fails ends the process: a voter that cannot write must not answer. At a start, records are read
 * up to the first that is not whole, and that tail is cut off before anything is written; a folder may be
 * written anew with what {@code kept()} gives, synced, and swapped.
 *
 * <p><b>Identity.</b> A folder has an identity, drawn when it is made. A keeper votes only if the voters name
 * its number with that identity; one with an empty folder has a new one, and learns. So a carrier never makes
 * the same identity twice, and never starts two processes on one folder. The first voters are named in the
 * operators' file ({@code founding}), the same at all keepers, after their folders were made.
 *
 * <p><b>Calls.</b> {@code Send} is a request to a keeper, also to this one itself; its answer comes back by
 * {@code answered}; one that is lost needs no word, and an answer to an earlier process must not reach a
 * later one. {@code Reply}, {@code Conclude}, {@code Tell} and {@code RefuseWatch} bear the number under
 * which the carrier told the event; it gives each a new one. A watch that is not refused at once is answered
 * with 200. The carrier ends a watch with more than {@link kitemux.rollout.Terms#MAX_UNWRITTEN_BYTES} bytes
 * unwritten, and says {@code watchEnded} of each that ends. At a node, numbers of watches come with {@code
 * Dial}; {@code PutInForce} is done between two events of the loop, then {@code inForce} is told, and not
 * before.
 */
package kitemux.rollout;
