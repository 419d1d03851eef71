"""Registers the components of a node with the kernel."""

import random
from collections.abc import Callable
from typing import cast

import gevent
import zmq

from flamingolug import configuration
from flamingolug import kernel
from flamingolug import membership
from flamingolug import peers
from flamingolug import settings
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _bootstrap
from flamingolug.node import _call_factory
from flamingolug.node import _control
from flamingolug.node import _http_frontend
from flamingolug.node import _inbound
from flamingolug.node import _keyed
from flamingolug.node import _message_codec
from flamingolug.node import _outcomes
from flamingolug.node import _outlier_detector
from flamingolug.node import _owners
from flamingolug.node import _router
from flamingolug.node import _sender
from flamingolug.node import _upstream

STORE_CALLS = "flamingolug.store.calls"


class Identity:
    """Identity of one run of a node.

    Holds the incarnation and the sources of message ids and random numbers.
    """

    def __init__(self, incarnation: int) -> None:
        """Creates the id source and the generator, seeded by incarnation."""
        self.incarnation = incarnation
        self.next_id: Callable[[], int] = peers.make_id_source()
        self.rng = random.Random(incarnation)


def _settings(parts: kernel.Kernel) -> settings.Settings:
    return parts.get("settings", settings.Settings)


def _timers(parts: kernel.Kernel) -> timing.Timers:
    return cast(timing.Timers, parts.get("timers", object))


def _identity(parts: kernel.Kernel) -> Identity:
    return parts.get("identity", Identity)


def _counters(parts: kernel.Kernel) -> telemetry.Counters:
    return parts.get("telemetry", telemetry.Counters)


@kernel.plugin("telemetry", ("settings",))
def _build_telemetry(parts: kernel.Kernel) -> object:
    cfg = _settings(parts)
    return telemetry.Counters(cfg.name, cfg.otlp_endpoint, cfg.otlp_interval_s)


@kernel.plugin("keys", ("settings",))
def _build_keys(parts: kernel.Kernel) -> object:
    return peers.derive_keys(_settings(parts).peer_key)


@kernel.plugin("traffic")
def _build_traffic(parts: kernel.Kernel) -> object:
    del parts
    return peers.Traffic()


@kernel.plugin("endpoint", ("settings", "keys", "traffic", "timers"))
def _build_endpoint(parts: kernel.Kernel) -> object:
    return peers.Endpoint(
        zmq.Context.instance(),
        str(_settings(parts).peer_bind_address),
        parts.get("keys", peers.PeerKeys),
        _counters(parts),
        now=_timers(parts).now,
        traffic=parts.get("traffic", peers.Traffic),
    )


@kernel.plugin("links", ("keys", "traffic", "timers", "identity"))
def _build_links(parts: kernel.Kernel) -> object:
    # Looked up on use: the membership is built after the links.
    def members() -> membership.Membership:
        return parts.get("membership", membership.Membership)

    identity = _identity(parts)
    return peers.Links(
        peers.LinkOptions(
            context=zmq.Context.instance(),
            keys=parts.get("keys", peers.PeerKeys),
            incarnation=identity.incarnation,
            now=_timers(parts).now,
            next_id=identity.next_id,
            counters=_counters(parts),
            traffic=parts.get("traffic", peers.Traffic),
            make_probe=lambda: members().make_ping(),
            on_pong=lambda pong: members().handle_ping(pong),
        )
    )


@kernel.plugin("loads", ("settings", "timers", "identity"))
def _build_loads(parts: kernel.Kernel) -> object:
    cfg = _settings(parts)
    incarnation = _identity(parts).incarnation
    return membership.PeerLoads(
        # Until `LocalUpstream` sets its report: this node accepts no calls.
        lambda: membership.new_report(cfg.name, incarnation, leaving=True),
        _timers(parts).now,
    )


@kernel.plugin(
    "membership", ("settings", "links", "loads", "timers", "telemetry")
)
def _build_membership(parts: kernel.Kernel) -> object:
    cfg = _settings(parts)
    identity = _identity(parts)
    own = membership.Member(
        name=cfg.name,
        incarnation=identity.incarnation,
        zone=cfg.availability_zone,
        region=cfg.region,
        http=str(cfg.http_address),
        peer=str(cfg.peer_address),
        service="",
        state=membership.MemberState.ALIVE,
        version=1,
        changed_at=_timers(parts).now(),
    )
    return membership.Membership(
        own,
        membership.Dependencies(
            links=parts.get("links", peers.Links),
            loads=parts.get("loads", membership.PeerLoads),
            timers=_timers(parts),
            counters=_counters(parts),
            next_id=identity.next_id,
            rng=identity.rng,
        ),
    )


@kernel.plugin("store", ("settings", "telemetry"))
def _build_store(parts: kernel.Kernel) -> object:
    url = _settings(parts).store_url
    counters = _counters(parts)
    counters.declare(STORE_CALLS, "Calls to the store", "operation", "purpose")
    if not url:
        return None
    return store.HttpStore(
        url,
        lambda operation, purpose: counters.add(
            STORE_CALLS, operation, purpose
        ),
    )


@kernel.plugin(
    "configuration",
    ("links", "membership", "store", "endpoint", "timers", "telemetry"),
)
def _build_configuration(parts: kernel.Kernel) -> object:
    manifest_watcher = configuration.ManifestWatcher(
        configuration.Dependencies(
            links=parts.get("links", peers.Links),
            members=parts.get("membership", membership.Membership),
            store=cast("store.Store | None", parts.get("store", object)),
            timers=_timers(parts),
            counters=_counters(parts),
            next_id=_identity(parts).next_id,
        )
    )
    endpoint = parts.get("endpoint", peers.Endpoint)

    def send_manifest(inbound: peers.InboundMessage) -> None:
        active = manifest_watcher.active
        if active is None:
            return
        endpoint.reply(
            inbound.routing_id,
            peers.MessageType.MANIFEST,
            {
                "id": inbound.message["id"],
                "rev": active.revision,
                "digest": active.digest,
            },
            active.stored_form,
        )

    endpoint.on(peers.MessageType.FETCH, send_manifest)
    return manifest_watcher


@kernel.plugin("first-contact", ("settings", "store", "membership", "timers"))
def _build_bootstrap(parts: kernel.Kernel) -> object:
    return _bootstrap.Bootstrap(
        _bootstrap.Dependencies(
            cfg=_settings(parts),
            store=cast("store.Store | None", parts.get("store", object)),
            members=parts.get("membership", membership.Membership),
            timers=_timers(parts),
        )
    )


@kernel.plugin("wire", ("configuration", "identity", "timers"))
def _build_message_codec(parts: kernel.Kernel) -> object:
    identity = _identity(parts)
    return _message_codec.MessageCodec(
        identity.incarnation,
        identity.next_id,
        _timers(parts).now,
        parts.get("configuration", configuration.ManifestWatcher),
    )


@kernel.plugin("outcomes", ("timers",))
def _build_outcomes(parts: kernel.Kernel) -> object:
    return _outcomes.Outcomes(_timers(parts).now)


@kernel.plugin(
    "owners", ("membership", "links", "store", "outcomes", "endpoint")
)
def _build_owners(parts: kernel.Kernel) -> object:
    endpoint = parts.get("endpoint", peers.Endpoint)
    owners = _owners.OwnershipManager(
        _owners.Dependencies(
            members=parts.get("membership", membership.Membership),
            links=parts.get("links", peers.Links),
            store=cast("store.Store | None", parts.get("store", object)),
            outcomes=parts.get("outcomes", _outcomes.Outcomes),
            timers=_timers(parts),
            counters=_counters(parts),
            next_id=_identity(parts).next_id,
            reply=lambda inbound, kind, message, body: endpoint.reply(
                inbound.routing_id, kind, message, body
            ),
        )
    )
    endpoint.on(peers.MessageType.VOTE, owners.handle_vote)
    endpoint.on(peers.MessageType.HANDOVER, owners.handle_handover)
    return owners


@kernel.plugin(
    "upstream",
    ("settings", "configuration", "membership", "loads", "owners"),
)
def _build_upstream(parts: kernel.Kernel) -> object:
    return _upstream.LocalUpstream(
        _upstream.Dependencies(
            cfg=_settings(parts),
            manifest_watcher=parts.get(
                "configuration", configuration.ManifestWatcher
            ),
            members=parts.get("membership", membership.Membership),
            loads=parts.get("loads", membership.PeerLoads),
            timers=_timers(parts),
            counters=_counters(parts),
            incarnation=_identity(parts).incarnation,
            outcomes=parts.get("outcomes", _outcomes.Outcomes),
            owners=parts.get("owners", _owners.OwnershipManager),
        )
    )


@kernel.plugin("inbound", ("endpoint", "upstream", "wire", "membership"))
def _build_inbound(parts: kernel.Kernel) -> object:
    return _inbound.InboundCalls(
        _inbound.Dependencies(
            endpoint=parts.get("endpoint", peers.Endpoint),
            upstream=parts.get("upstream", _upstream.LocalUpstream),
            members=parts.get("membership", membership.Membership),
            loads=parts.get("loads", membership.PeerLoads),
            codec=parts.get("wire", _message_codec.MessageCodec),
            timers=_timers(parts),
            counters=_counters(parts),
            incarnation=_identity(parts).incarnation,
        )
    )


@kernel.plugin("health", ("timers",))
def _build_outlier_detector(parts: kernel.Kernel) -> object:
    return _outlier_detector.OutlierDetector(_timers(parts).now)


@kernel.plugin("sender", ("upstream", "wire", "links", "loads", "health"))
def _build_sender(parts: kernel.Kernel) -> object:
    return _sender.Sender(
        _sender.Dependencies(
            cfg=_settings(parts),
            members=parts.get("membership", membership.Membership),
            loads=parts.get("loads", membership.PeerLoads),
            links=parts.get("links", peers.Links),
            upstream=parts.get("upstream", _upstream.LocalUpstream),
            outlier_detector=parts.get(
                "health", _outlier_detector.OutlierDetector
            ),
            timers=_timers(parts),
            codec=parts.get("wire", _message_codec.MessageCodec),
        )
    )


@kernel.plugin("keyed-routing", ("sender", "telemetry"))
def _build_keyed_routing(parts: kernel.Kernel) -> object:
    return _keyed.KeyedRouter(
        _keyed.Dependencies(
            cfg=_settings(parts),
            members=parts.get("membership", membership.Membership),
            links=parts.get("links", peers.Links),
            upstream=parts.get("upstream", _upstream.LocalUpstream),
            sender=parts.get("sender", _sender.Sender),
            timers=_timers(parts),
            counters=_counters(parts),
            codec=parts.get("wire", _message_codec.MessageCodec),
        )
    )


@kernel.plugin("routing", ("sender", "keyed-routing", "configuration"))
def _build_routing(parts: kernel.Kernel) -> object:
    return _router.Router(
        _router.Dependencies(
            cfg=_settings(parts),
            manifest_watcher=parts.get(
                "configuration", configuration.ManifestWatcher
            ),
            members=parts.get("membership", membership.Membership),
            loads=parts.get("loads", membership.PeerLoads),
            outlier_detector=parts.get(
                "health", _outlier_detector.OutlierDetector
            ),
            sender=parts.get("sender", _sender.Sender),
            keyed=parts.get("keyed-routing", _keyed.KeyedRouter),
            timers=_timers(parts),
            counters=_counters(parts),
            rng=_identity(parts).rng,
        )
    )


@kernel.plugin(
    "front", ("routing", "upstream", "inbound", "first-contact", "stop")
)
def _build_front(parts: kernel.Kernel) -> object:
    upstream = parts.get("upstream", _upstream.LocalUpstream)
    identity = _identity(parts)
    timers = _timers(parts)
    manifest_watcher = parts.get("configuration", configuration.ManifestWatcher)
    bootstrap = parts.get("first-contact", _bootstrap.Bootstrap)
    control = _control.Control(
        _control.Dependencies(
            cfg=_settings(parts),
            keys=parts.get("keys", peers.PeerKeys),
            manifest_watcher=manifest_watcher,
            members=parts.get("membership", membership.Membership),
            upstream=upstream,
            counters=_counters(parts),
            traffic=parts.get("traffic", peers.Traffic),
            query_outcome=parts.get(
                "keyed-routing", _keyed.KeyedRouter
            ).query_outcome,
            request_stop=parts.get("stop", gevent.event.Event).set,
            add_seed=bootstrap.add_seed,
        )
    )
    return _http_frontend.HttpFrontend(
        _http_frontend.Dependencies(
            cfg=_settings(parts),
            manifest_watcher=manifest_watcher,
            call_factory=_call_factory.CallFactory(
                identity.incarnation,
                upstream.in_flight,
                timers,
                identity.next_id,
            ),
            router=parts.get("routing", _router.Router),
            control=control,
            timers=timers,
            counters=_counters(parts),
            rng=identity.rng,
        )
    )
