package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.endivemux.control.state.Command.Stamped;
import org.endivemux.model.gateway.ServiceName;
import org.endivemux.model.gateway.SoftwareVersion;
import org.endivemux.model.gateway.StreamKey;
import org.endivemux.model.gateway.StreamOriginSource;
import org.endivemux.model.gateway.StreamStarts;
import org.endivemux.wire.MessagePackCodec;

/** Checks which version is named for a stream that a caller resumes. */
final class StreamVersionsTest {
  private static final ServiceName SERVICE = new ServiceName("llm");
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v2");
  private static final long LIFETIME_MILLIS = 20_000;
  private static final long STEP_MILLIS = 1_000;

  private ControlState state = new ControlState();
  private long index;
  private long now = 1_000_000;

  private void note(VersionNote note) {
    byte[] bytes = MessagePackCodec.encode(new Stamped(now, Command.noChange(), Optional.of(note)));
    state.apply(++index, MessagePackCodec.decode(bytes, Stamped.class));
  }

  private void list(SoftwareVersion... versions) {
    note(new VersionNote(now, Optional.of(Map.of(SERVICE, List.of(versions))), List.of()));
  }

  private void listFor(long millis, SoftwareVersion... versions) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      list(versions);
    }
  }

  private void began(String attempt, SoftwareVersion version) {
    StreamStarts starts =
        new StreamStarts(SERVICE, version, LIFETIME_MILLIS, List.of(StreamKey.of(attempt)));
    note(new VersionNote(now, Optional.empty(), List.of(starts)));
  }

  private StreamVersions.Found find(String attempt) {
    return state
        .streamVersions()
        .find(SERVICE, Optional.of(StreamKey.of(attempt)), LIFETIME_MILLIS, now);
  }

  private void restart() {
    ControlState restored = new ControlState();
    restored.restore(state.save());
    state = restored;
  }

  /** Guards against a record that is lost with the entries, or with the voters' memory. */
  @Example
  void recordOutlivesARestartFromASnapshot() {
    list(OLD, NEW);
    began("a", OLD);
    began("b", NEW);
    restart();
    assertThat(find("a").version()).hasValue(OLD);
    assertThat(find("b"))
        .isEqualTo(new StreamVersions.Found(Optional.of(NEW), StreamOriginSource.RECORD));
    assertThat(find("c").version()).isEmpty();
  }

  /** Guards against the conclusion that the version that serves alone now began every stream. */
  @Example
  void soleVersionIsNamedOnlyAfterTheOthersWereGoneForLong() {
    listFor(60_000, OLD);
    listFor(3_000, OLD, NEW);
    listFor(LIFETIME_MILLIS - 2 * STEP_MILLIS, NEW);
    assertThat(find("a").version()).isEmpty();
    listFor(4 * STEP_MILLIS, NEW);
    restart();
    assertThat(find("a"))
        .isEqualTo(new StreamVersions.Found(Optional.of(NEW), StreamOriginSource.SOLE_VERSION));
  }

  /** Guards against a conclusion from a history that is shorter than a stream. */
  @Example
  void soleVersionIsUnknownWhileTheHistoryIsShort() {
    listFor(LIFETIME_MILLIS / 2, NEW);
    assertThat(find("a").version()).isEmpty();
  }

  /** Guards against a conclusion over a time in which no leader noted the versions. */
  @Example
  void soleVersionIsUnknownAfterAGapInTheHistory() {
    listFor(60_000, OLD);
    now += StreamVersions.MAX_GAP_MILLIS + STEP_MILLIS;
    listFor(LIFETIME_MILLIS / 2, OLD);
    assertThat(find("a").version()).isEmpty();
  }

  /** Guards against memory that grows with all streams that ever began. */
  @Example
  void expiredRecordsAreRemoved() {
    IntStream.range(0, 100).forEach(i -> began("a" + i, OLD));
    now += LIFETIME_MILLIS + 2 * STEP_MILLIS;
    began("b", OLD);
    assertThat(state.streamVersions().size()).isEqualTo(1);
  }

  /** Guards against a voter of an earlier build that ends at a note, or takes it for a change. */
  @Example
  void noteChangesNothingElse() {
    list(OLD);
    began("a", OLD);
    assertThat(state.view().revision()).isZero();
    assertThat(Command.noChange()).isInstanceOf(Command.SetLeaving.class);
  }

  /**
   * Guards against a stream of two versions, over random releases, crashes, lost reports and
   * restarts of all voters: a version that is named is the one that began the stream.
   */
  @Property(tries = 200, seed = "4848")
  void namedVersionIsAlwaysTheOneThatBeganTheStream(@ForAll Random random) {
    SoftwareVersion[] versions = {OLD, NEW, new SoftwareVersion("v3")};
    Map<String, SoftwareVersion> truth = new HashMap<>();
    Map<String, Long> beganAt = new HashMap<>();
    List<SoftwareVersion> listed = new ArrayList<>(List.of(OLD));
    for (int step = 0; step < 150; step++) {
      now += random.nextInt(2_000);
      if (random.nextInt(8) == 0) {
        listed.clear();
        IntStream.rangeClosed(0, random.nextInt(2))
            .forEach(i -> listed.add(versions[random.nextInt(versions.length)]));
      }
      list(listed.toArray(SoftwareVersion[]::new));
      String attempt = "a" + step;
      truth.put(attempt, listed.get(random.nextInt(listed.size())));
      beganAt.put(attempt, now);
      if (random.nextInt(4) > 0) {
        began(attempt, truth.get(attempt));
      }
      if (random.nextInt(20) == 0) {
        restart();
      }
      beganAt.entrySet().stream()
          .filter(it -> now - it.getValue() < LIFETIME_MILLIS)
          .forEach(
              it ->
                  find(it.getKey())
                      .version()
                      .ifPresent(named -> assertThat(named).isEqualTo(truth.get(it.getKey()))));
    }
  }
}
