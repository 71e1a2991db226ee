package org.endivemux.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
 * Stores one voter's hard state, log and snapshot in its data folder.
 *
 * <p>Invariants: {@link #write} returns only after a sync; one process holds the folder's lock; the
 * disk id never changes while the folder exists; a file that replaces another by a rename is synced
 * before the rename, and the folder after it. Confined to one thread.
 */
public final class DataFolder implements AutoCloseable {
  private static final String LOG = "log";
  private static final String SNAPSHOT = "snapshot";
  private static final String DISK_ID = "disk-id";

  private final Path folder;
  private final FileChannel lockFile;
  private final RetryingWriter writer;
  private final DiskId disk;
  private final List<LogEntry> entries = new ArrayList<>();
  private HardState hardState = HardState.initial();
  private Snapshot snapshot;
  private RecordFile log;

  private DataFolder(Path folder, FileChannel lockFile, RetryingWriter writer) {
    this.folder = folder;
    this.lockFile = lockFile;
    this.writer = writer;
    this.disk = readOrCreateDiskId();
    this.snapshot = readSnapshot();
    this.log = RecordFile.open(folder.resolve(LOG), writer);
    readLog();
  }

  /**
   * Opens or creates the folder; throws {@link StorageException} if it cannot be used.
   *
   * @param failureHandler decides whether a failed write is retried
   */
  public static DataFolder open(Path folder, WriteFailureHandler failureHandler) {
    return open(folder, FileOperations.system(), failureHandler);
  }

  /**
   * Opens or creates the folder with these file operations.
   *
   * @param failureHandler decides whether a failed write is retried
   */
  public static DataFolder open(
      Path folder, FileOperations files, WriteFailureHandler failureHandler) {
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
      return open(folder, lockFile, new RetryingWriter(files, failureHandler));
    } catch (IOException e) {
      throw new StorageException("The data folder " + folder + " cannot be opened.", e);
    }
  }

  /** Opens a locked folder; releases the lock if that fails. */
  private static DataFolder open(Path folder, FileChannel lockFile, RetryingWriter writer)
      throws IOException {
    try {
      return new DataFolder(folder, lockFile, writer);
    } catch (StorageException e) {
      lockFile.close();
      throw e;
    }
  }

  private DiskId readOrCreateDiskId() {
    Path file = folder.resolve(DISK_ID);
    try {
      if (!Files.exists(file)) {
        replace(file, UUID.randomUUID().toString().getBytes(StandardCharsets.UTF_8));
      }
      return new DiskId(Files.readString(file).strip());
    } catch (IOException | IllegalArgumentException e) {
      throw new StorageException("The disk id file " + file + " cannot be read or created.", e);
    }
  }

  private Snapshot readSnapshot() {
    Path file = folder.resolve(SNAPSHOT);
    if (!Files.exists(file)) {
      return Recovered.blank(disk).snapshot();
    }
    try (RecordFile records = RecordFile.open(file, writer)) {
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
    records.forEach(this::applyRecord);
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

  private void applyRecord(LogRecord record) {
    record.hardState().ifPresent(state -> hardState = state);
    record.entries().forEach(this::applyEntry);
  }

  private void applyEntry(LogEntry entry) {
    while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= entry.index()) {
      entries.remove(entries.size() - 1);
    }
    entries.add(entry);
  }

  /** Returns the content of the folder. */
  public Recovered recovered() {
    return new Recovered(disk, hardState, snapshot, entries);
  }

  /** Writes and syncs the state of several steps together. */
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
            LogRecord record = LogRecord.of(step.hardState(), step.entries());
            applyRecord(record);
            pending.add(record);
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
    log = RecordFile.open(folder.resolve(LOG), writer);
    log.readAll();
  }

  private void replaceByRecord(Path target, byte[] record) {
    Path temporary = target.resolveSibling(target.getFileName() + ".new");
    try {
      try (RecordFile file = RecordFile.create(temporary, writer)) {
        file.append(record);
      }
      moveAndSync(temporary, target);
    } catch (IOException e) {
      throw new StorageException("The file " + target + " cannot be replaced.", e);
    }
  }

  private void replace(Path target, byte[] content) throws IOException {
    Path temporary = target.resolveSibling(target.getFileName() + ".new");
    writer.runWithRetries(
        temporary, () -> Files.write(temporary, content), () -> Files.deleteIfExists(temporary));
    try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
      writer.files().sync(channel, true);
    }
    moveAndSync(temporary, target);
  }

  private void moveAndSync(Path temporary, Path target) throws IOException {
    writer.runWithRetries(target, () -> writer.files().move(temporary, target), () -> {});
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      writer.files().sync(channel, true);
    }
  }

  @Override
  public void close() {
    log.close();
    try {
      lockFile.close();
    } catch (IOException e) {
      throw new StorageException("The lock file of " + folder + " cannot be closed.", e);
    }
  }

  /** Holds one record of the log file; the first identifies the snapshot that the log follows. */
  record LogRecord(
      long baseIndex, long baseTerm, Optional<HardState> hardState, List<LogEntry> entries) {
    private static final long NO_BASE = -1;

    static LogRecord of(Optional<HardState> hardState, List<LogEntry> entries) {
      return new LogRecord(NO_BASE, NO_BASE, hardState, entries);
    }
  }
}
