package org.endivemux.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.endivemux.consensus.Effects.Persist;
import org.endivemux.consensus.HardState;
import org.endivemux.consensus.LogEntry;
import org.endivemux.consensus.Recovered;
import org.endivemux.consensus.Snapshot;
import org.endivemux.model.DiskId;
import org.endivemux.wire.MessagePackCodec;

/**
 * Keeps one voter's hard state, log and snapshot under its data folder.
 *
 * <p>Invariants: {@link #write} returns only after a sync; one process holds the folder's lock; the
 * disk id never changes while the folder lives; files replaced by a rename are synced before it and
 * the folder after it. Confined to one thread.
 */
public final class DataFolder implements AutoCloseable {
  private static final String LOG = "log";
  private static final String SNAPSHOT = "snapshot";
  private static final String DISK_ID = "disk-id";

  private final Path folder;
  private final FileChannel lockFile;
  private final Writes writes;
  private final DiskId disk;
  private final List<LogEntry> entries = new ArrayList<>();
  private HardState hardState = HardState.initial();
  private Snapshot snapshot;
  private RecordFile log;

  private DataFolder(Path folder, FileChannel lockFile, Writes writes) {
    this.folder = folder;
    this.lockFile = lockFile;
    this.writes = writes;
    this.disk = readOrMakeDiskId();
    this.snapshot = readSnapshot();
    this.log = RecordFile.open(folder.resolve(LOG), writes);
    readLog();
  }

  /**
   * Opens or makes the folder; throws {@link StorageException} when it can not be used.
   *
   * @param refusals decides what follows a write that the disk refuses
   */
  public static DataFolder open(Path folder, WriteFailureHandler refusals) {
    return open(folder, new Writes(FileChannel::write, refusals));
  }

  static DataFolder open(Path folder, Writes writes) {
    try {
      Files.createDirectories(folder);
      FileChannel lockFile =
          FileChannel.open(
              folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      FileLock lock = lockFile.tryLock();
      if (lock == null) {
        throw new StorageException(
            "The data folder " + folder + " is in use; stop the other process first.");
      }
      return new DataFolder(folder, lockFile, writes);
    } catch (IOException e) {
      throw new StorageException("The data folder " + folder + " can not be opened.", e);
    }
  }

  private DiskId readOrMakeDiskId() {
    Path file = folder.resolve(DISK_ID);
    try {
      if (!Files.exists(file)) {
        replace(file, UUID.randomUUID().toString().getBytes(StandardCharsets.UTF_8));
      }
      return new DiskId(Files.readString(file).strip());
    } catch (IOException | IllegalArgumentException e) {
      throw new StorageException("The file " + file + " can not be used.", e);
    }
  }

  private Snapshot readSnapshot() {
    Path file = folder.resolve(SNAPSHOT);
    if (!Files.exists(file)) {
      return Recovered.blank(disk).snapshot();
    }
    try (RecordFile records = RecordFile.open(file, writes)) {
      List<byte[]> found = records.readAll();
      if (found.size() != 1) {
        throw new StorageException("The snapshot " + file + " is damaged; treat the disk as lost.");
      }
      return MessagePackCodec.decode(found.get(0), Snapshot.class);
    }
  }

  private void readLog() {
    List<LogRecord> records =
        log.readAll().stream()
            .map(bytes -> MessagePackCodec.decode(bytes, LogRecord[].class))
            .flatMap(Arrays::stream)
            .toList();
    records.forEach(this::remember);
    Optional<LogRecord> first = records.stream().findFirst();
    boolean startsAtSnapshot =
        first
            .filter(base -> base.baseIndex() == snapshot.index())
            .filter(base -> base.baseTerm() == snapshot.term())
            .isPresent();
    boolean continuesSnapshot = startsAtSnapshot || holdsEntry(snapshot.index(), snapshot.term());
    entries.removeIf(entry -> !continuesSnapshot || entry.index() <= snapshot.index());
    if (first.isEmpty() || !startsAtSnapshot) {
      rewriteLog();
    }
  }

  private boolean holdsEntry(long index, long term) {
    return entries.stream().anyMatch(entry -> entry.index() == index && entry.term() == term);
  }

  private void remember(LogRecord read) {
    read.hardState().ifPresent(state -> hardState = state);
    read.entries().forEach(this::remember);
  }

  private void remember(LogEntry entry) {
    while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= entry.index()) {
      entries.remove(entries.size() - 1);
    }
    entries.add(entry);
  }

  /** Returns what the folder holds. */
  public Recovered recovered() {
    return new Recovered(disk, hardState, snapshot, entries);
  }

  /** Writes and syncs several steps' state together. */
  public void write(List<Persist> steps) {
    List<LogRecord> pending = new ArrayList<>();
    steps.forEach(
        step -> {
          step.snapshot()
              .ifPresent(
                  newer -> {
                    flush(pending);
                    replaceSnapshot(newer);
                  });
          if (step.hardState().isPresent() || !step.entries().isEmpty()) {
            LogRecord made = LogRecord.of(step.hardState(), step.entries());
            remember(made);
            pending.add(made);
          }
        });
    flush(pending);
  }

  private void flush(List<LogRecord> pending) {
    if (!pending.isEmpty()) {
      log.append(MessagePackCodec.encode(pending));
      pending.clear();
    }
  }

  private void replaceSnapshot(Snapshot newer) {
    boolean keepsTail = holdsEntry(newer.index(), newer.term());
    entries.removeIf(entry -> !keepsTail || entry.index() <= newer.index());
    snapshot = newer;
    replaceByRecord(folder.resolve(SNAPSHOT), MessagePackCodec.encode(newer));
    rewriteLog();
  }

  private void rewriteLog() {
    LogRecord base =
        new LogRecord(snapshot.index(), snapshot.term(), Optional.of(hardState), entries);
    log.close();
    replaceByRecord(folder.resolve(LOG), MessagePackCodec.encode(List.of(base)));
    log = RecordFile.open(folder.resolve(LOG), writes);
    log.readAll();
  }

  private void replaceByRecord(Path target, byte[] record) {
    Path fresh = target.resolveSibling(target.getFileName() + ".new");
    try {
      Files.deleteIfExists(fresh);
      try (RecordFile file = RecordFile.open(fresh, writes)) {
        file.append(record);
      }
      moveAndSync(fresh, target);
    } catch (IOException e) {
      throw new StorageException("The file " + target + " can not be replaced.", e);
    }
  }

  private void replace(Path target, byte[] content) throws IOException {
    Path fresh = target.resolveSibling(target.getFileName() + ".new");
    writes.untilTaken(fresh, () -> Files.write(fresh, content), () -> Files.deleteIfExists(fresh));
    try (FileChannel channel = FileChannel.open(fresh, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    moveAndSync(fresh, target);
  }

  private void moveAndSync(Path fresh, Path target) throws IOException {
    Files.move(fresh, target, StandardCopyOption.ATOMIC_MOVE);
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public void close() {
    log.close();
    try {
      lockFile.close();
    } catch (IOException e) {
      throw new StorageException("The lock of " + folder + " can not be closed.", e);
    }
  }

  /** Holds one record of the log file; the first of a file names the snapshot it continues. */
  record LogRecord(
      long baseIndex, long baseTerm, Optional<HardState> hardState, List<LogEntry> entries) {
    private static final long NO_BASE = -1;

    static LogRecord of(Optional<HardState> hardState, List<LogEntry> entries) {
      return new LogRecord(NO_BASE, NO_BASE, hardState, entries);
    }
  }
}
