package org.endivemux.routing.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.PromptPartId;
import org.endivemux.model.VmId;
import org.endivemux.model.crash.CompletedPart;
import org.endivemux.model.crash.CrashNews;
import org.endivemux.model.crash.CrashReport;
import org.endivemux.model.crash.PartVerdicts;

/** Checks which prompt parts are quarantined after crashes of backend servers. */
final class PartQuarantineTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int FIFTH = 4;
  private static final long CONTACT_MILLIS = 3000;
  private static final VmId ENTRY = new VmId("entry");
  private static final PromptPartId PART = new PromptPartId("part");

  private final PartQuarantine quarantine = new PartQuarantine();

  /** Guards against a prompt part that crashes one server after the other. */
  @Property(tries = 60, seed = "26")
  void crashingPartIsHeldBackSoonAfterTheFifthCrash(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int entries) {
    CrashSimulation simulation =
        new CrashSimulation(seed, entries, 12).traffic(15, 400, 5000).run(60_000);
    assertThat(simulation.everQuarantined()).containsExactly(CrashSimulation.CRASHING);
    List<Long> crashes = simulation.crashTimes();
    long bound = crashes.size() > FIFTH ? crashes.get(FIFTH) + CONTACT_MILLIS : 60_000;
    assertThat(simulation.crashingSentAfter(bound)).isLessThanOrEqualTo(3);
  }

  /** Guards against sound prompts that are held back because their servers crash often. */
  @Property(tries = 60, seed = "27")
  void crashesForOtherReasonsQuarantineNothing(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int entries) {
    CrashSimulation simulation = new CrashSimulation(seed, entries, 12).traffic(15, 0, 0);
    IntStream.range(0, 20).forEach(i -> simulation.crashAt(3000 + i * 700L, 1 + i % 4));
    assertThat(simulation.run(40_000).everQuarantined()).isEmpty();
    assertThat(simulation.completed()).isPositive();
  }

  private static CrashNews crashes(int count, long ageMillis) {
    return new CrashNews(
        0,
        10 * (5000 - ageMillis),
        IntStream.range(0, count)
            .mapToObj(
                i ->
                    new CrashReport(
                        new BackendServerId("s" + i), ageMillis - i * 500L, List.of(PART)))
            .toList(),
        List.of(),
        List.of());
  }

  private void quarantinePart() {
    quarantine.add(ENTRY, crashes(4, 4000), 1, 0);
    quarantine.add(ENTRY, crashes(4, 3900), 1, SECOND / 10);
    quarantine.add(ENTRY, crashes(4, 3000), 1, SECOND);
    assertThat(quarantine.quarantined()).containsExactly(PART);
  }

  /** Guards against a part that stays held back for good although engines answer it again. */
  @Example
  void completedTrialEndsTheQuarantine() {
    quarantinePart();
    assertThat(quarantine.verdicts(2 * SECOND).trials()).isEmpty();
    assertThat(quarantine.verdicts(62 * SECOND).trials()).containsExactly(PART);
    assertThat(quarantine.verdicts(62 * SECOND).trials()).isEmpty();
    quarantine.add(
        ENTRY,
        new CrashNews(0, 0, List.of(), List.of(new CompletedPart(PART, 100)), List.of()),
        1,
        63 * SECOND);
    assertThat(quarantine.quarantined()).isEmpty();
  }

  /**
   * Guards against blaming a part that all prompts share when no sound one was completed lately.
   */
  @Example
  void partThatWasCompletedEarlierIsNotBlamedInPlaceOfOneThatNeverWas() {
    PromptPartId shared = new PromptPartId("a-shared");
    for (int second = 0; second < 4; second++) {
      long sinceStart = second * 1000L;
      List<CrashReport> reports =
          IntStream.range(0, 4)
              .mapToObj(
                  i ->
                      new CrashReport(
                          new BackendServerId("s" + i),
                          sinceStart + i * 500L,
                          List.of(shared, PART)))
              .toList();
      List<CompletedPart> completed = List.of(new CompletedPart(shared, 20_000 + sinceStart));
      quarantine.add(
          ENTRY,
          new CrashNews(0, 100L * second, reports, completed, List.of()),
          1,
          100 * SECOND + second * SECOND);
    }
    assertThat(quarantine.quarantined()).containsExactly(PART);
  }

  /** Guards against entries that poll without pause because they have no verdicts. */
  @Example
  void entryWithoutVerdictsIsUpToDateUntilTheFirstChange() {
    quarantine.add(ENTRY, CrashNews.none(), 5, 0);
    assertThat(quarantine.number()).isEqualTo(CrashNews.none().verdictsNumber());
    assertThat(quarantine.verdicts(0)).isEqualTo(PartVerdicts.none());
    quarantine.add(ENTRY, new CrashNews(0, 0, List.of(), List.of(), List.of(PART)), 5, 1);
    assertThat(quarantine.number()).isNotEqualTo(CrashNews.none().verdictsNumber());
  }

  /** Guards against a part that is sent again after a change of the leader. */
  @Example
  void newLeaderTakesOverWhatEntriesHoldBack() {
    quarantine.add(ENTRY, new CrashNews(0, 0, List.of(), List.of(), List.of(PART)), 2, SECOND);
    assertThat(quarantine.quarantined()).containsExactly(PART);
  }

  /** Guards against the loss of a failure domain being taken for crashes on a prompt. */
  @Example
  void crashesAtTheSameMomentCountAsOne() {
    List<CrashReport> reports =
        IntStream.range(0, 6)
            .mapToObj(i -> new CrashReport(new BackendServerId("s" + i), 100, List.of(PART)))
            .toList();
    IntStream.range(0, 4)
        .forEach(
            second ->
                quarantine.add(
                    ENTRY,
                    new CrashNews(0, 100L * second, reports, List.of(), List.of()),
                    1,
                    second * SECOND));
    assertThat(quarantine.quarantined()).isEmpty();
  }
}
