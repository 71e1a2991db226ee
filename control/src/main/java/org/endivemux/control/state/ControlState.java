package org.endivemux.control.state;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.endivemux.control.state.Command.Stamped;
import org.endivemux.control.state.EntryView.NumberedChange;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Bytes;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.IdempotencyKey;
import org.endivemux.model.KeyDigest;
import org.endivemux.model.KeyInfo;
import org.endivemux.model.KeyRole;
import org.endivemux.model.OrganisationId;
import org.endivemux.model.Reason;
import org.endivemux.model.gateway.GatewayConfig;
import org.endivemux.wire.MessagePackCodec;
import org.endivemux.wire.Packed;

/**
 * Replicated state machine that applies committed commands.
 *
 * <p>Invariants: it is deterministic, so that the same commands give every replica the same state
 * and results; its time is taken only from the commands' timestamps and never goes backwards.
 * Confined to the state machine's thread; {@link #view} and everything that it returns are
 * immutable.
 */
public final class ControlState {
  private static final int MAX_RETAINED_CHANGES = 4096;
  private static final long PRUNE_INTERVAL_MILLIS = 60_000;

  private final Plans plans = new Plans();
  private final KeyTable keys = new KeyTable();
  private final Claims claims = new Claims();
  private final Usage usage = new Usage();
  private final Orders orders = new Orders();
  private final WindowReports windowReports = new WindowReports();
  private final GatewayConfigHistory gateway = new GatewayConfigHistory();
  private final Evacuations evacuations = new Evacuations();
  private final StreamVersions streamVersions = new StreamVersions();
  private final Set<BackendServerId> leaving = new HashSet<>();
  private final Deque<NumberedChange> changes = new ArrayDeque<>();
  private EntryView view = EntryView.empty();
  private long changesAfterRevision;
  private long nowMillis;
  private long prunedAtMillis;

  /** Applies the command at a log index and returns its result. */
  public CommandResult apply(long index, Stamped stamped) {
    nowMillis = Math.max(nowMillis, stamped.atMillis());
    if (nowMillis - prunedAtMillis > PRUNE_INTERVAL_MILLIS) {
      claims.removeExpired(nowMillis);
      prunedAtMillis = nowMillis;
    }
    stamped.note().ifPresent(streamVersions::apply);
    return apply(index, stamped.command());
  }

  private CommandResult apply(long index, Command command) {
    if (command instanceof Command.OpenClaim it) {
      return claims.open(it, nowMillis);
    } else if (command instanceof Command.FinishClaim it) {
      return claims.finish(it);
    } else if (command instanceof Command.ReleaseClaim it) {
      return claims.release(it);
    } else if (command instanceof Command.MarkOutcomeUnknown it) {
      return claims.markOutcomeUnknown(it);
    } else if (command instanceof Command.AbandonClaims it) {
      return claims.abandon(it);
    } else if (command instanceof Command.ProposePlan it) {
      return plans.propose(it);
    } else if (command instanceof Command.ConfirmPlan it) {
      return confirm(index, it);
    } else if (command instanceof Command.CreateKey it) {
      return createKey(index, it);
    } else if (command instanceof Command.WithdrawKey it) {
      return withdrawKey(index, it);
    } else if (command instanceof Command.SetLeaving it) {
      return setLeaving(index, it);
    }
    return applyUsageOrderOrGateway(index, command);
  }

  private CommandResult applyUsageOrderOrGateway(long index, Command command) {
    if (command instanceof Command.RecordUsage it) {
      return usage.record(it, nowMillis);
    } else if (command instanceof Command.CloseWindow it) {
      return usage.close(it, nowMillis);
    } else if (command instanceof Command.MarkReported it) {
      return usage.markReported(it);
    } else if (command instanceof Command.OpenOrder it) {
      return orders.open(it);
    } else if (command instanceof Command.PutGatewayConfig it) {
      return putGatewayConfig(index, it);
    } else if (command instanceof Command.FinaliseWindow it) {
      return windowReports.finalise(it);
    } else if (command instanceof Command.MarkWindowSent it) {
      return windowReports.markSent(it);
    } else if (command instanceof Command.StartEvacuation it) {
      return evacuate(index, it.failureDomain(), true);
    } else if (command instanceof Command.EndEvacuation it) {
      return evacuate(index, it.failureDomain(), false);
    }
    return orders.close((Command.CloseOrder) command);
  }

  private CommandResult putGatewayConfig(long index, Command.PutGatewayConfig command) {
    gateway.put(index, command).ifPresent(change -> view = view.apply(index, change));
    return new CommandResult.GatewayConfigStored(gateway.revision());
  }

  private CommandResult evacuate(long index, FailureDomain domain, boolean evacuated) {
    evacuations.order(index, domain, evacuated).ifPresent(change -> publish(index, change));
    return new CommandResult.EvacuationStored(evacuations.revisionOf(domain));
  }

  private CommandResult confirm(long index, Command.ConfirmPlan command) {
    long before = plans.version();
    CommandResult result = plans.confirm(command, index);
    if (plans.version() != before) {
      DeclarationDelta delta = DeclarationDelta.between(view.declaration(), plans.declaration());
      publish(index, new ViewChange.Configured(plans.version(), delta));
    }
    return result;
  }

  private CommandResult createKey(long index, Command.CreateKey command) {
    boolean needsOrganisation = command.role() == KeyRole.CALLER;
    boolean declared = plans.declaration().organisation(command.organisation()).isPresent();
    if (needsOrganisation && !declared) {
      return new CommandResult.Refused(
          Reason.KEY_UNKNOWN,
          "Organisation " + command.organisation() + " is not declared; declare it first.");
    }
    CommandResult result = keys.create(command);
    if (result instanceof CommandResult.Done) {
      publishKey(index, command.digest());
    }
    return result;
  }

  private CommandResult withdrawKey(long index, Command.WithdrawKey command) {
    KeyTable.Withdrawal withdrawal = keys.withdraw(command);
    withdrawal.digest().ifPresent(digest -> publishKey(index, digest));
    return withdrawal.result();
  }

  private void publishKey(long index, KeyDigest digest) {
    KeyInfo info = keys.all().get(digest);
    if (!view.key(digest).equals(Optional.of(info))) {
      publish(index, new ViewChange.KeyChanged(digest, info));
    }
  }

  private CommandResult setLeaving(long index, Command.SetLeaving command) {
    command.backendServers().stream()
        .filter(id -> command.leaving() ? leaving.add(id) : leaving.remove(id))
        .forEach(id -> publish(index, new ViewChange.LeavingChanged(id, command.leaving())));
    return new CommandResult.Done();
  }

  private void publish(long index, ViewChange change) {
    view = view.apply(index, change);
    changes.addLast(new NumberedChange(index, change));
    while (changes.size() > MAX_RETAINED_CHANGES) {
      changesAfterRevision = changes.removeFirst().revision();
    }
  }

  /** Returns the part of the state that entries use. */
  public EntryView view() {
    return view;
  }

  /** Returns what turns the view at a revision into the current one. */
  public ViewUpdate updateSince(long revision) {
    boolean retained = revision >= changesAfterRevision && revision <= view.revision();
    if (!retained) {
      return new ViewUpdate(Optional.of(view.save()), gateway.changeSince(0).stream().toList());
    }
    Stream<NumberedChange> newer = changes.stream().filter(c -> c.revision() > revision);
    return new ViewUpdate(
        Optional.empty(),
        Stream.concat(newer, gateway.changeSince(revision).stream())
            .sorted(Comparator.comparingLong(NumberedChange::revision))
            .toList());
  }

  /** Returns the claim on a call. */
  public Optional<Claim> claim(OrganisationId organisation, IdempotencyKey key) {
    return claims.find(organisation, key);
  }

  /** Returns the number of stored claims. */
  public int claimCount() {
    return claims.size();
  }

  /** Returns the number of the open usage window. */
  public long openWindow() {
    return usage.openWindow();
  }

  /** Returns closed windows, oldest first. */
  public List<UsageWindow> windows() {
    return usage.windows();
  }

  /** Returns the oldest closed window that is not reported yet. */
  public Optional<UsageWindow> firstUnreported() {
    return usage.firstUnreported();
  }

  /** Returns the gateway configuration in force. */
  public GatewayConfig gatewayConfig() {
    return gateway.config();
  }

  /** Returns the gateway configuration in force as the operator sent it. */
  public Optional<Packed> gatewayDocument() {
    return gateway.document();
  }

  /** Returns the wall-clock usage windows whose counts are final. */
  public WindowReports windowReports() {
    return windowReports;
  }

  /** Returns which software versions began the recent streams. */
  public StreamVersions streamVersions() {
    return streamVersions;
  }

  /** Returns all orders, oldest first. */
  public List<Order> orders() {
    return orders.all();
  }

  /** Returns the whole state, serialised. */
  public Bytes save() {
    ControlSnapshot saved =
        new ControlSnapshot(
            nowMillis,
            view.revision(),
            plans.save(),
            Map.copyOf(keys.all()),
            claims.all(),
            usage.save(),
            orders.all(),
            List.copyOf(leaving),
            gateway.save(),
            windowReports.save(),
            evacuations.save(),
            streamVersions.save());
    return Bytes.of(MessagePackCodec.encode(saved));
  }

  /** Replaces the whole state; empty bytes stand for the state before any command. */
  public void restore(Bytes bytes) {
    ControlSnapshot saved =
        bytes.size() == 0
            ? ControlSnapshot.initial()
            : MessagePackCodec.decode(bytes.toArray(), ControlSnapshot.class);
    nowMillis = saved.nowMillis();
    plans.restore(saved.plans());
    keys.restore(saved.keys());
    claims.restore(saved.claims());
    usage.restore(saved.usage());
    orders.restore(saved.orders());
    gateway.restore(saved.gateway());
    windowReports.restore(saved.windowReports());
    evacuations.restore(saved.evacuations());
    streamVersions.restore(saved.streamVersions());
    leaving.clear();
    leaving.addAll(saved.leaving());
    changes.clear();
    changesAfterRevision = saved.revision();
    view =
        EntryView.of(
            new EntryView.Saved(
                saved.revision(),
                plans.version(),
                plans.declaration(),
                keys.all(),
                new HashSet<>(leaving),
                evacuations.domains()));
    gateway.changeSince(0).ifPresent(whole -> view = view.apply(saved.revision(), whole.change()));
  }
}
