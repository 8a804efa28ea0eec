/**
 * Replicates the configuration among keepers and distributes it to all nodes, which report what they have
 * in force. The package is free of side effects: events are passed in with their time in microseconds, and
 * effects are returned. It opens no socket or file, reads no clock, starts no thread, and takes all
 * randomness from seeds. All methods of one state machine are called on one thread. {@code
 * docs/design/capacity.md} explains the design.
 *
 * <p>A host runs one {@link kitemux.rollout.KeeperStateMachine} at a keeper or one {@link
 * kitemux.rollout.Subscriber} at a node. It calls the method of an event, carries out the returned effects
 * in order, and sets one timer to {@code nextAtUs()}, at which it calls {@code tick}. It sets the timer
 * again after each event. Messages are encoded by {@link kitemux.rollout.RolloutText}.
 *
 * <p><b>Which response waits for which sync.</b> {@link kitemux.rollout.Effect.Persist} appends a record
 * behind all earlier ones. The effects in its {@code then} (a promise or an acceptance) are sent only once
 * this record and all before it are on disk, without exception: three such responses are what an operator's
 * 200 relies on. An effect outside of {@code then} does not wait for a sync. The {@code then} of a chosen
 * version is empty, since three voters have it on disk already; its record only has to precede later ones.
 * A failed write ends the process, as a voter that cannot write must not respond. At the start, records are
 * read up to the first incomplete one, and the rest is cut off before anything is written. A folder may be
 * rewritten with the records of {@code toRecords()}, synced, and swapped.
 *
 * <p><b>Identity.</b> A folder has an identity, drawn at random when it is created. A keeper votes only if
 * the voters list its number with that identity; a keeper with an empty folder has a new identity and only
 * learns. The host therefore never creates the same identity twice and never runs two processes on one
 * folder. The initial voters are listed in the operators' file, which is the same at all keepers and is
 * written after their folders were created.
 *
 * <p><b>Calls.</b> {@code Send} is a request to a keeper, possibly to this one itself; its response is
 * passed to {@code handleResponse}. A lost request or response is not reported, and a response to an
 * earlier process must not reach a later one. {@code Reply}, {@code CompleteChange}, {@code SendEvent} and
 * {@code RejectWatch} carry the number that the host assigned to the call or watch; it never assigns a
 * number twice. A watch that is not rejected at once is answered with status 200. The host closes a watch
 * with more than {@link kitemux.rollout.ProtocolParameters#MAX_UNWRITTEN_BYTES} unwritten bytes, and calls
 * {@code watchEnded} for each watch that ends. At a node, the number of a watch comes with {@code
 * OpenWatch}. {@code Apply} is carried out between two events of the loop, and {@code applied} is called
 * only after that.
 */
package kitemux.rollout;
