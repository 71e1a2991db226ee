package org.endivemux.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.endivemux.control.state.Command.CloseOrder;
import org.endivemux.control.state.Command.OpenOrder;
import org.endivemux.model.OrderId;
import org.endivemux.statechart.StateChart;

/**
 * Stores orders to the platform as intents with their outcomes.
 *
 * <p>Invariant: an order's content never changes, and its first outcome is final. Confined to the
 * state machine's thread.
 */
final class Orders {
  /** Closed orders are removed beyond this number; open ones are always retained. */
  private static final int MAX_RETAINED_ORDERS = 1000;

  private static final StateChart<OrderState, OrderEvent> CHART =
      StateChart.load("order.yaml", OrderState.class, OrderEvent.class);

  private final Map<OrderId, Order> orders = new LinkedHashMap<>();

  CommandResult open(OpenOrder command) {
    orders.putIfAbsent(command.order(), new Order(command, CHART.initial(), ""));
    List<OrderId> surplus =
        orders.values().stream()
            .filter(order -> order.state() != OrderState.INTENDED)
            .limit(Math.max(0, orders.size() - MAX_RETAINED_ORDERS))
            .map(order -> order.intent().order())
            .toList();
    surplus.forEach(orders::remove);
    return new CommandResult.Done();
  }

  CommandResult close(CloseOrder command) {
    OrderEvent event = command.accepted() ? OrderEvent.ACCEPTED : OrderEvent.REFUSED;
    orders.computeIfPresent(
        command.order(),
        (id, order) ->
            CHART
                .next(order.state(), event)
                .map(state -> new Order(order.intent(), state, command.detail()))
                .orElse(order));
    return new CommandResult.Done();
  }

  List<Order> all() {
    return List.copyOf(orders.values());
  }

  void restore(List<Order> saved) {
    orders.clear();
    saved.forEach(order -> orders.put(order.intent().order(), order));
  }
}
