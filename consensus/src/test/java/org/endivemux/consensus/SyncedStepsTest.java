package org.endivemux.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.endivemux.consensus.Message.Append;
import org.endivemux.consensus.Message.AppendReply;
import org.endivemux.model.Bytes;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/** Tests which entries a follower reports as synced when its disk lags behind its log. */
final class SyncedStepsTest {
  private static final VmId SELF = new VmId("vm0");
  private static final DiskId DISK = new DiskId("disk0");
  private static final Membership MEMBERSHIP =
      new Membership(
          Stream.of("0", "1", "2")
              .map(n -> new Member(new VmId("vm" + n), new DiskId("disk" + n), true))
              .toList());

  private final ConsensusCore core =
      new ConsensusCore(
          SELF,
          BootstrapConfig.fixedVoters(Set.of(SELF, new VmId("vm1"), new VmId("vm2"))),
          new Recovered(
              DISK, HardState.initial(), new Snapshot(1, 0, MEMBERSHIP, Bytes.empty()), List.of()),
          Timing.standard(),
          0);

  /** Guards against an entry that stays unreported since a snapshot was synced along with it. */
  @Example
  void entryThatIsSyncedTogetherWithASnapshotBeforeItIsReported() {
    append(1, 2, entry(2, 1), entry(3, 1), entry(4, 1));
    Effects snapshot = core.compact(2, Bytes.ofUtf8("state"));
    assertThat(snapshot.persist()).isPresent();
    assertThat(reported(core.persisted(snapshot.step()))).contains(4L);
  }

  /**
   * Guards against a report of an entry whose sync is still to come: an earlier sync of the same
   * entry counted although another entry has replaced it on the disk since.
   */
  @Example
  void entryThatWasReplacedAndComesBackIsReportedOnlyOnceItIsSyncedAgain() {
    Effects first = append(1, 1, entry(2, 1));
    Effects other = append(2, 1, entry(2, 2));
    Effects again = append(3, 1, entry(2, 1));
    assertThat(reported(core.persisted(first.step()))).contains(1L);
    assertThat(reported(core.persisted(other.step()))).contains(1L);
    assertThat(reported(core.persisted(again.step()))).contains(2L);
  }

  private static LogEntry entry(long index, long term) {
    return LogEntry.ofCommand(index, term, Bytes.ofUtf8("c"));
  }

  /** Delivers entries that follow the snapshot, from the leader of a term. */
  private Effects append(long term, long commit, LogEntry... entries) {
    Append append = new Append(term, 1, 0, List.of(entries), commit, term);
    return core.receive(
        new Envelope(new VmId("vm1"), new DiskId("disk1"), SELF, Optional.of(DISK), append), term);
  }

  private static Optional<Long> reported(Effects effects) {
    return effects.messages().stream()
        .map(Envelope::message)
        .filter(AppendReply.class::isInstance)
        .map(AppendReply.class::cast)
        .filter(AppendReply::accepted)
        .map(AppendReply::index)
        .reduce((earlier, later) -> later);
  }
}
