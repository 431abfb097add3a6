"""Model of a network that reorders, loses and duplicates messages, as an immutable value."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar

Item = TypeVar("Item")


class FaultBudget(NamedTuple):
    """The number of faults of each kind that can still happen. It keeps the state space finite."""

    losses: int = 1
    duplicates: int = 1
    restarts: int = 1


class Message(NamedTuple):
    """A message in flight.

    Attributes:
        to: Number of the recipient.
        payload: Content; hashable, and comparable with other payloads to the same recipient.
    """

    to: int
    payload: Any


class Network(NamedTuple):
    """The messages in flight; any of them can be delivered next.

    The messages are a multiset. They are kept sorted so that equal multisets are equal states.
    """

    messages: tuple[Message, ...] = ()

    def send(self, to: int, payload: Any) -> Network:
        """Return the network with one more message in flight."""
        return Network(tuple(sorted((*self.messages, Message(to, payload)))))

    def remove(self, message: Message) -> Network:
        """Return the network without one copy of `message`."""
        messages = list(self.messages)
        messages.remove(message)
        return Network(tuple(messages))

    def distinct(self) -> Iterator[Message]:
        """Yield each message once, regardless of the number of copies in flight."""
        yield from dict.fromkeys(self.messages)


class NetworkFault(NamedTuple):
    """A possible loss or duplication of a message, with the network and the budget after it."""

    label: str
    network: Network
    budget: FaultBudget


def possible_faults(network: Network, budget: FaultBudget) -> Iterator[NetworkFault]:
    """Yield the losses and duplications that `budget` still allows."""
    for message in network.distinct():
        if budget.losses:
            yield NetworkFault(
                f"lose {message.payload} to {message.to}",
                network.remove(message),
                budget._replace(losses=budget.losses - 1),
            )
        if budget.duplicates:
            yield NetworkFault(
                f"double {message.payload} to {message.to}",
                network.send(message.to, message.payload),
                budget._replace(duplicates=budget.duplicates - 1),
            )


def replace_at(items: tuple[Item, ...], index: int, item: Item) -> tuple[Item, ...]:
    """Return `items` with the one at `index` replaced by `item`."""
    return (*items[:index], item, *items[index + 1 :])
