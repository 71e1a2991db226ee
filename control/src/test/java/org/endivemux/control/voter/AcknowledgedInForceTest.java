package org.endivemux.control.voter;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;
import org.endivemux.control.voter.InForceSimulation.Acknowledged;
import org.endivemux.control.voter.InForceSimulation.Load;
import org.endivemux.control.voter.InForceSimulation.Trouble;

/**
 * Checks that an acknowledged configuration is in force at all entries in time, whatever its size,
 * the number of entries and the rate of changes.
 */
final class AcknowledgedInForceTest {
  /** From the acknowledgement of a version to its being in force at each entry in contact. */
  private static final Duration APPLY_LIMIT = Duration.ofSeconds(2);

  private static final Duration ACK_LIMIT = Duration.ofSeconds(4);
  private static final Duration ACK_LIMIT_PER_ROUTE = Duration.ofMillis(3);
  private static final long LINK_BYTES_PER_SECOND = 125_000_000;

  /** Guards against acknowledged routes that entries refuse since the configuration is large. */
  @Example
  void largeConfigurationIsInForceInTime() {
    checkInForce(load(14_000, 6, 4, Duration.ofSeconds(2)));
  }

  /** Guards against acknowledged routes that some of many entries refuse. */
  @Example
  void configurationIsInForceAtManyEntriesInTime() {
    checkInForce(load(1000, 363, 3, Duration.ofSeconds(1)));
  }

  /** Guards against entries that never catch up while changes come in quick succession. */
  @Example
  void changesInQuickSuccessionAreInForceInTime() {
    checkInForce(load(7400, 6, 25, Duration.ofMillis(80)));
  }

  /** Guards against an acknowledgement that is given while entries still wait for the change. */
  @Example
  void acknowledgementWaitsForEntriesBehindSlowLinks() {
    checkInForce(slowLinks(3), Trouble.NONE);
  }

  /** Guards against a new leader that acknowledges before it knows the entries. */
  @Example
  void newLeaderWaitsForEntriesThatItDoesNotKnowYet() {
    checkInForce(slowLinks(1), Trouble.NEW_LEADER);
  }

  /** Guards against changes that are never acknowledged because one entry is out of contact. */
  @Example
  void entryOutOfContactDoesNotHoldTheAcknowledgement() {
    checkInForce(load(436, 6, 3, Duration.ofSeconds(5)), Trouble.LOST_REPLIES);
  }

  /**
   * Guards against a change of a small configuration that an entry which ended holds for too long.
   */
  @Example
  void entryThatEndsDoesNotHoldTheAcknowledgementForTooLong() {
    checkInForce(load(26, 6, 1, Duration.ofSeconds(5)), Trouble.ENTRY_ENDS);
  }

  /** Guards against a change that is held for too long by an entry that no reply reaches. */
  @Example
  void lostRepliesDoNotHoldTheAcknowledgementForTooLong() {
    checkInForce(load(26, 6, 1, Duration.ofSeconds(5)), Trouble.LOST_REPLIES);
  }

  /** Guards against a change that is held for too long by an entry that reads its replies late. */
  @Example
  void slowEntryDoesNotHoldTheAcknowledgementForTooLong() {
    checkInForce(load(26, 6, 1, Duration.ofSeconds(5)), Trouble.SLOW_ENTRY);
  }

  /** Guards against an election and the wait for entries that together take too long. */
  @Example
  void changeBesideAnElectionIsAcknowledgedInTime() {
    checkInForce(load(26, 6, 1, Duration.ofSeconds(5)), Trouble.LEADER_ENDS);
  }

  /** Changes of the whole configuration, of which a link carries less than half in a second. */
  private static Load slowLinks(int changes) {
    return new Load(
        14_000,
        6,
        changes,
        Duration.ofSeconds(8),
        true,
        100_000,
        ACK_LIMIT.plus(ACK_LIMIT_PER_ROUTE.multipliedBy(14_000)),
        APPLY_LIMIT);
  }

  private static Load load(int routes, int entries, int changes, Duration gap) {
    return new Load(
        routes,
        entries,
        changes,
        gap,
        false,
        LINK_BYTES_PER_SECOND,
        ACK_LIMIT.plus(ACK_LIMIT_PER_ROUTE.multipliedBy(routes)),
        APPLY_LIMIT);
  }

  private static void checkInForce(Load load) {
    checkInForce(load, Trouble.NONE);
  }

  private static void checkInForce(Load load, Trouble trouble) {
    try (InForceSimulation simulation = new InForceSimulation(load)) {
      List<Acknowledged> changes = simulation.play(trouble);
      assertThat(changes).allMatch(change -> change.behind().isEmpty());
      assertThat(changes).hasSize(load.changes());
      assertThat(changes).allMatch(change -> change.took().compareTo(load.ackLimit()) <= 0);
    }
  }
}
