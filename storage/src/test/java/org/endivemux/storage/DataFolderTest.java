package org.endivemux.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivemux.consensus.Effects.Persist;
import org.endivemux.consensus.HardState;
import org.endivemux.consensus.LogEntry;
import org.endivemux.consensus.Membership;
import org.endivemux.consensus.Recovered;
import org.endivemux.consensus.Snapshot;
import org.endivemux.model.Bytes;
import org.endivemux.model.DiskId;

/** Tests what a data folder preserves across restarts, torn writes and damage. */
final class DataFolderTest {
  private final Path folder = makeFolder();

  @Example
  void keepsDiskIdHardStateAndEntries() {
    DiskId disk = write(entries(1, 3), entries(3, 5));
    Recovered recovered = reopen();
    assertThat(recovered.disk()).isEqualTo(disk);
    assertThat(recovered.hardState().term()).isEqualTo(2);
    assertThat(recovered.entries()).extracting(LogEntry::index).containsExactly(1L, 2L, 3L, 4L, 5L);
  }

  @Example
  void snapshotReplacesTheEntriesBeforeIt() {
    Snapshot snapshot = new Snapshot(2, 2, new Membership(List.of()), Bytes.ofUtf8("state"));
    write(entries(1, 4), new Persist(Optional.empty(), Optional.of(snapshot), List.of()));
    assertThat(reopen().snapshot()).isEqualTo(snapshot);
    assertThat(reopen().entries()).extracting(LogEntry::index).containsExactly(3L, 4L);
  }

  @Example
  void snapshotOfAnotherHistoryDropsTheWholeLog() {
    Snapshot snapshot = new Snapshot(9, 7, new Membership(List.of()), Bytes.empty());
    write(entries(1, 4), new Persist(Optional.empty(), Optional.of(snapshot), List.of()));
    assertThat(reopen().entries()).isEmpty();
  }

  @Property(tries = 60, seed = "11")
  void tornLastRecordIsTruncated(@ForAll @IntRange(min = 1, max = 400) int cut) throws IOException {
    write(entries(1, 2));
    long intactBytes = Files.size(log());
    write(entries(3, 4));
    try (RandomAccessFile file = new RandomAccessFile(log().toFile(), "rw")) {
      file.setLength(Math.max(intactBytes, file.length() - cut));
    }
    assertThat(reopen().entries()).extracting(LogEntry::index).containsExactly(1L, 2L);
    write(entries(3, 3));
    assertThat(reopen().entries()).hasSize(3);
    deleteAll();
  }

  @Example
  void damageBeforeTheLastRecordIsReportedWithARemedy() throws IOException {
    write(entries(1, 2));
    long intactBytes = Files.size(log());
    write(entries(3, 4));
    try (RandomAccessFile file = new RandomAccessFile(log().toFile(), "rw")) {
      file.seek(intactBytes - 3);
      file.write(0x55);
    }
    assertThatThrownBy(() -> DataFolder.open(folder, WriteFailureHandler.failFast()))
        .isInstanceOf(StorageException.class)
        .hasMessageContaining("treat the disk as lost");
  }

  @Example
  void secondProcessIsRefused() {
    try (DataFolder opened = DataFolder.open(folder, WriteFailureHandler.failFast())) {
      assertThat(opened.recovered().entries()).isEmpty();
      assertThatThrownBy(() -> DataFolder.open(folder, WriteFailureHandler.failFast()))
          .isInstanceOf(Exception.class);
    }
  }

  @Example
  void fullDiskIsRetriedAndLosesNothing() {
    FullDisk disk = new FullDisk();
    Snapshot snapshot = new Snapshot(2, 2, new Membership(List.of()), Bytes.ofUtf8("state"));
    try (DataFolder data = DataFolder.open(folder, disk, disk)) {
      data.write(List.of(entries(1, 2)));
      disk.freeBytes = 7;
      data.write(List.of(entries(3, 4)));
      disk.freeBytes = 0;
      data.write(List.of(new Persist(Optional.empty(), Optional.of(snapshot), List.of())));
    }
    assertThat(disk.failedWrites).isEqualTo(2);
    assertThat(disk.recoveredWrites).isEqualTo(2);
    assertThat(reopen().snapshot()).isEqualTo(snapshot);
    assertThat(reopen().entries()).extracting(LogEntry::index).containsExactly(3L, 4L);
  }

  /** Guards against a voter that ends since a full disk refuses the files of a new snapshot. */
  @Example
  void refusedCreationRenameAndDeletionAreRetriedAndLoseNothing() {
    FullDisk disk = new FullDisk();
    Snapshot snapshot = new Snapshot(2, 2, new Membership(List.of()), Bytes.ofUtf8("state"));
    try (DataFolder data = DataFolder.open(folder, disk, disk)) {
      data.write(List.of(entries(1, 4)));
      disk.refusesNames = true;
      data.write(List.of(new Persist(Optional.empty(), Optional.of(snapshot), List.of())));
      data.write(List.of(entries(5, 5)));
    }
    assertThat(disk.refusedNames).containsExactly("delete", "open", "move");
    assertThat(reopen().snapshot()).isEqualTo(snapshot);
    assertThat(reopen().entries()).extracting(LogEntry::index).containsExactly(3L, 4L, 5L);
  }

  /** Accepts a number of bytes, then rejects writes until the failure handler is called. */
  private static final class FullDisk implements FileOperations, WriteFailureHandler {
    private int freeBytes = Integer.MAX_VALUE;
    private int failedWrites;
    private int recoveredWrites;
    private boolean refusesNames;
    private final Set<String> refusedNames = new LinkedHashSet<>();

    private void refuseOnce(String operation) throws IOException {
      if (refusesNames && refusedNames.add(operation)) {
        throw new IOException("No space left on device");
      }
    }

    @Override
    public FileChannel open(Path file) throws IOException {
      refuseOnce("open");
      return FileOperations.super.open(file);
    }

    @Override
    public void move(Path from, Path to) throws IOException {
      refuseOnce("move");
      FileOperations.super.move(from, to);
    }

    @Override
    public void deleteIfExists(Path file) throws IOException {
      refuseOnce("delete");
      FileOperations.super.deleteIfExists(file);
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
      if (freeBytes == 0) {
        throw new IOException("No space left on device");
      }
      int count = Math.min(freeBytes, bytes.remaining());
      channel.write(bytes.slice(bytes.position(), count));
      bytes.position(bytes.position() + count);
      freeBytes -= count;
    }

    @Override
    public void onWriteFailed(Path file, int failedAttempts, IOException cause) {
      failedWrites++;
      freeBytes = Integer.MAX_VALUE;
    }

    @Override
    public void onWriteRecovered(Path file, int failedAttempts) {
      recoveredWrites++;
    }
  }

  private DiskId write(Persist... steps) {
    try (DataFolder data = DataFolder.open(folder, WriteFailureHandler.failFast())) {
      data.write(List.of(steps));
      return data.recovered().disk();
    }
  }

  private Recovered reopen() {
    try (DataFolder data = DataFolder.open(folder, WriteFailureHandler.failFast())) {
      return data.recovered();
    }
  }

  private static Persist entries(int from, int to) {
    List<LogEntry> entries =
        IntStream.rangeClosed(from, to)
            .mapToObj(i -> new LogEntry(i, 2, Bytes.ofUtf8("c" + i), Optional.empty()))
            .toList();
    return new Persist(Optional.of(new HardState(2, Optional.empty())), Optional.empty(), entries);
  }

  private Path log() {
    return folder.resolve("log");
  }

  private void deleteAll() throws IOException {
    Files.delete(log());
    Files.deleteIfExists(folder.resolve("snapshot"));
  }

  private static Path makeFolder() {
    try {
      return Files.createTempDirectory("data");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
