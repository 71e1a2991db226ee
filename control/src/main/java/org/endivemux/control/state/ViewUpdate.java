package org.endivemux.control.state;

import java.util.List;
import java.util.Optional;
import org.endivemux.control.state.EntryView.NumberedChange;

/**
 * Holds what turns an older {@link EntryView} into a newer one. Immutable and thread-safe.
 *
 * @param whole the view that the changes apply to, when the older one is too old for changes alone;
 *     it has no configuration of the gateway
 * @param changes changes in the order of their revisions
 */
public record ViewUpdate(Optional<EntryView.Saved> whole, List<NumberedChange> changes) {
  public ViewUpdate {
    changes = List.copyOf(changes);
  }
}
