"""Estimates of output lengths from exponentially decaying histograms.

A histogram has log-spaced buckets. Each service has one, initialised with a prior.
Each active organisation has its own, which gains weight over that of the service
as it collects responses.
"""

from __future__ import annotations

import array
import bisect
import collections

from endivesill.configuration.model import Service

__all__ = ["LengthEstimator", "LengthHistogram"]

BUCKETS_PER_OCTAVE = 2
BUCKET_COUNT = 34
DECAY_PER_RESPONSE = 0.998
PRIOR_WEIGHT = 20.0
ORGANISATION_PRIOR_WEIGHT = 50.0
MAXIMUM_ORGANISATIONS = 20_000

BOUNDS_TOKENS = tuple(2 ** (i / BUCKETS_PER_OCTAVE) for i in range(BUCKET_COUNT))
MIDPOINTS_TOKENS = tuple(1.19 * bound for bound in BOUNDS_TOKENS)


def _bucket_index(tokens: float) -> int:
    return max(0, bisect.bisect_right(BOUNDS_TOKENS, tokens) - 1)


class LengthHistogram:
    """A histogram of output lengths in which each sample decays older ones.

    The weights are stored multiplied by a growing scale, so that a new sample need
    not touch all buckets.
    """

    __slots__ = ("_scale", "_weights", "sum_tokens", "total")

    def __init__(self) -> None:
        self._weights = array.array("f", bytes(4 * BUCKET_COUNT))
        self._scale = 1.0
        self.total = 0.0
        self.sum_tokens = 0.0

    @classmethod
    def from_prior(cls, mean_tokens: int) -> LengthHistogram:
        """Return a histogram initialised with a spread around an expected length."""
        histogram = cls()
        for factor, share in ((0.125, 0.2), (0.4, 0.3), (0.9, 0.3), (3.0, 0.2)):
            histogram.add(max(1.0, factor * mean_tokens), share * PRIOR_WEIGHT)
        return histogram

    def add(self, tokens: float, weight: float = 1.0) -> None:
        """Add a sample; older samples decay by a constant factor."""
        self._scale /= DECAY_PER_RESPONSE
        bucket = _bucket_index(tokens)
        self._weights[bucket] += weight * self._scale
        self.total = self.total * DECAY_PER_RESPONSE + weight
        added_tokens = weight * MIDPOINTS_TOKENS[bucket]
        self.sum_tokens = self.sum_tokens * DECAY_PER_RESPONSE + added_tokens
        if self._scale > 1e6:
            for index in range(BUCKET_COUNT):
                self._weights[index] /= self._scale
            self._scale = 1.0

    def tail(self, produced: int) -> tuple[float, float]:
        """Return the weight of longer outputs and their weighted remaining tokens."""
        if not produced:
            return self.total, self.sum_tokens
        first = _bucket_index(produced)
        weight = remaining = 0.0
        for index in range(first, BUCKET_COUNT):
            share = self._weights[index]
            if not share:
                continue
            left = MIDPOINTS_TOKENS[index] - produced
            if index == first:
                # Only the part of the bucket above the produced length remains.
                upper = BOUNDS_TOKENS[index] * 2 ** (1 / BUCKETS_PER_OCTAVE)
                width = upper - BOUNDS_TOKENS[index]
                share *= max(0.0, upper - produced) / width
                left = (upper - produced) / 2
            weight += share
            remaining += share * max(0.0, left)
        return weight / self._scale, remaining / self._scale

    def quantile(self, share: float, produced: int = 0) -> float:
        """Return a quantile of the lengths above the length produced so far."""
        first = _bucket_index(produced) if produced else 0
        wanted = share * sum(self._weights[first:])
        seen = 0.0
        for index in range(first, BUCKET_COUNT):
            seen += self._weights[index]
            if seen >= wanted and seen > 0:
                return max(MIDPOINTS_TOKENS[index], float(produced))
        return float(produced)


class LengthEstimator:
    """Estimates output lengths by service and organisation.

    Histograms of organisations are evicted in LRU order to bound memory. An
    organisation without a histogram gets the estimate of the service.
    """

    def __init__(self, maximum_organisations: int = MAXIMUM_ORGANISATIONS) -> None:
        self._maximum_organisations = maximum_organisations
        self._services: dict[str, LengthHistogram] = {}
        self._organisations: collections.OrderedDict[
            tuple[str, str], LengthHistogram
        ] = collections.OrderedDict()

    def record(self, service: Service, organisation: str, tokens: int) -> None:
        """Record the output length of a completed response."""
        self._service(service).add(tokens)
        key = (service.name, organisation)
        histogram = self._organisations.get(key)
        if histogram is None:
            histogram = self._organisations[key] = LengthHistogram()
        self._organisations.move_to_end(key)
        histogram.add(tokens)
        if len(self._organisations) > self._maximum_organisations:
            self._organisations.popitem(last=False)

    def mean_remaining(
        self, service: Service, organisation: str, produced: int = 0
    ) -> float:
        """Return the expected number of tokens after those produced so far."""
        base = self._service(service)
        weight, remaining = base.tail(produced)
        mean = remaining / weight if weight > 1e-6 else float(produced)
        own = self._organisations.get((service.name, organisation))
        if own is None:
            return mean
        own_weight, own_remaining = own.tail(produced)
        prior = ORGANISATION_PRIOR_WEIGHT
        return (own_remaining + prior * mean) / (own_weight + prior)

    def quantile(
        self, service: Service, organisation: str, share: float, produced: int = 0
    ) -> float:
        """Return a quantile of the total length, given the length so far."""
        own = self._organisations.get((service.name, organisation))
        if own is not None and own.total >= ORGANISATION_PRIOR_WEIGHT:
            return own.quantile(share, produced)
        return self._service(service).quantile(share, produced)

    def _service(self, service: Service) -> LengthHistogram:
        histogram = self._services.get(service.name)
        if histogram is None:
            histogram = LengthHistogram.from_prior(service.prior_output_tokens)
            self._services[service.name] = histogram
        return histogram
