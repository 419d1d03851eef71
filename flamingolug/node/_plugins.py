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
from flamingolug.node import _control
from flamingolug.node import _entry
from flamingolug.node import _health
from flamingolug.node import _http_frontend
from flamingolug.node import _inbound
from flamingolug.node import _keyed
from flamingolug.node import _outcomes
from flamingolug.node import _owners
from flamingolug.node import _router
from flamingolug.node import _sender
from flamingolug.node import _upstream
from flamingolug.node import _wire

STORE_CALLS = "flamingolug.store.calls"


class Identity:
    """Identity of one run of a node.

    Holds the incarnation and the sources of request ids and random numbers.
    """

    def __init__(self, incarnation: int) -> None:
        """Creates the id source and the generator, seeded by incarnation."""
        self.incarnation = incarnation
        self.next_id: Callable[[], int] = peers.make_id_source()
        self.rng = random.Random(incarnation)


def _settings(built: kernel.Kernel) -> settings.Settings:
    return built.get("settings", settings.Settings)


def _timers(built: kernel.Kernel) -> timing.Timers:
    return cast(timing.Timers, built.get("timers", object))


def _identity(built: kernel.Kernel) -> Identity:
    return built.get("identity", Identity)


def _counters(built: kernel.Kernel) -> telemetry.Counters:
    return built.get("telemetry", telemetry.Counters)


@kernel.plugin("telemetry", ("settings",))
def _build_telemetry(built: kernel.Kernel) -> object:
    cfg = _settings(built)
    return telemetry.Counters(cfg.name, cfg.otlp_endpoint, cfg.otlp_interval_s)


@kernel.plugin("keys", ("settings",))
def _build_keys(built: kernel.Kernel) -> object:
    return peers.derive_keys(_settings(built).peer_key)


@kernel.plugin("traffic")
def _build_traffic(built: kernel.Kernel) -> object:
    del built
    return peers.Traffic()


@kernel.plugin("endpoint", ("settings", "keys", "traffic", "timers"))
def _build_endpoint(built: kernel.Kernel) -> object:
    return peers.Endpoint(
        zmq.Context.instance(),
        str(_settings(built).peer_bind_address),
        built.get("keys", peers.PeerKeys),
        _counters(built),
        now=_timers(built).now,
        traffic=built.get("traffic", peers.Traffic),
    )


@kernel.plugin("links", ("keys", "traffic", "timers", "identity"))
def _build_links(built: kernel.Kernel) -> object:
    def members() -> membership.Membership:
        return built.get("membership", membership.Membership)

    identity = _identity(built)
    return peers.Links(
        peers.LinkOptions(
            context=zmq.Context.instance(),
            keys=built.get("keys", peers.PeerKeys),
            incarnation=identity.incarnation,
            now=_timers(built).now,
            next_id=identity.next_id,
            counters=_counters(built),
            traffic=built.get("traffic", peers.Traffic),
            make_probe=lambda: members().make_ping(),
            on_pong=lambda pong: members().handle_ping(pong),
        )
    )


@kernel.plugin("loads", ("settings", "timers", "identity"))
def _build_loads(built: kernel.Kernel) -> object:
    cfg = _settings(built)
    incarnation = _identity(built).incarnation
    return membership.PeerLoads(
        lambda: membership.new_report(cfg.name, incarnation, leaving=True),
        _timers(built).now,
    )


@kernel.plugin(
    "membership", ("settings", "links", "loads", "timers", "telemetry")
)
def _build_membership(built: kernel.Kernel) -> object:
    cfg = _settings(built)
    identity = _identity(built)
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
        changed_at=_timers(built).now(),
    )
    return membership.Membership(
        own,
        membership.Dependencies(
            links=built.get("links", peers.Links),
            loads=built.get("loads", membership.PeerLoads),
            timers=_timers(built),
            counters=_counters(built),
            next_id=identity.next_id,
            rng=identity.rng,
        ),
    )


@kernel.plugin("store", ("settings", "telemetry"))
def _build_store(built: kernel.Kernel) -> object:
    url = _settings(built).store_url
    counters = _counters(built)
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
def _build_configuration(built: kernel.Kernel) -> object:
    config = configuration.ManifestWatcher(
        configuration.Dependencies(
            links=built.get("links", peers.Links),
            members=built.get("membership", membership.Membership),
            store=cast("store.Store | None", built.get("store", object)),
            timers=_timers(built),
            counters=_counters(built),
            next_id=_identity(built).next_id,
        )
    )
    endpoint = built.get("endpoint", peers.Endpoint)

    def send_manifest(inbound: peers.InboundMessage) -> None:
        active = config.active
        if active is None:
            return
        endpoint.reply(
            inbound.route,
            peers.MessageType.MANIFEST,
            {
                "id": inbound.message["id"],
                "rev": active.revision,
                "digest": active.digest,
            },
            active.stored,
        )

    endpoint.on(peers.MessageType.FETCH, send_manifest)
    return config


@kernel.plugin("first-contact", ("settings", "store", "membership", "timers"))
def _build_bootstrap(built: kernel.Kernel) -> object:
    return _bootstrap.Bootstrap(
        _bootstrap.Dependencies(
            cfg=_settings(built),
            store=cast("store.Store | None", built.get("store", object)),
            members=built.get("membership", membership.Membership),
            timers=_timers(built),
        )
    )


@kernel.plugin("wire", ("configuration", "identity", "timers"))
def _build_wire(built: kernel.Kernel) -> object:
    identity = _identity(built)
    return _wire.Wire(
        identity.incarnation,
        identity.next_id,
        _timers(built).now,
        built.get("configuration", configuration.ManifestWatcher),
    )


@kernel.plugin("outcomes", ("timers",))
def _build_outcomes(built: kernel.Kernel) -> object:
    return _outcomes.Outcomes(_timers(built).now)


@kernel.plugin(
    "owners", ("membership", "links", "store", "outcomes", "endpoint")
)
def _build_owners(built: kernel.Kernel) -> object:
    endpoint = built.get("endpoint", peers.Endpoint)
    owners = _owners.Owners(
        _owners.Dependencies(
            members=built.get("membership", membership.Membership),
            links=built.get("links", peers.Links),
            store=cast("store.Store | None", built.get("store", object)),
            outcomes=built.get("outcomes", _outcomes.Outcomes),
            timers=_timers(built),
            counters=_counters(built),
            next_id=_identity(built).next_id,
            reply=lambda inbound, kind, message, body: endpoint.reply(
                inbound.route, kind, message, body
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
def _build_upstream(built: kernel.Kernel) -> object:
    return _upstream.Upstream(
        _upstream.Dependencies(
            cfg=_settings(built),
            config=built.get("configuration", configuration.ManifestWatcher),
            members=built.get("membership", membership.Membership),
            loads=built.get("loads", membership.PeerLoads),
            timers=_timers(built),
            counters=_counters(built),
            incarnation=_identity(built).incarnation,
            outcomes=built.get("outcomes", _outcomes.Outcomes),
            owners=built.get("owners", _owners.Owners),
        )
    )


@kernel.plugin("inbound", ("endpoint", "upstream", "wire", "membership"))
def _build_inbound(built: kernel.Kernel) -> object:
    return _inbound.InboundCalls(
        _inbound.Dependencies(
            endpoint=built.get("endpoint", peers.Endpoint),
            upstream=built.get("upstream", _upstream.Upstream),
            members=built.get("membership", membership.Membership),
            loads=built.get("loads", membership.PeerLoads),
            wire=built.get("wire", _wire.Wire),
            timers=_timers(built),
            counters=_counters(built),
            incarnation=_identity(built).incarnation,
        )
    )


@kernel.plugin("health", ("timers",))
def _build_health(built: kernel.Kernel) -> object:
    return _health.Health(_timers(built).now)


@kernel.plugin("sender", ("upstream", "wire", "links", "loads", "health"))
def _build_sender(built: kernel.Kernel) -> object:
    return _sender.Sender(
        _sender.Dependencies(
            cfg=_settings(built),
            members=built.get("membership", membership.Membership),
            loads=built.get("loads", membership.PeerLoads),
            links=built.get("links", peers.Links),
            upstream=built.get("upstream", _upstream.Upstream),
            health=built.get("health", _health.Health),
            timers=_timers(built),
            wire=built.get("wire", _wire.Wire),
        )
    )


@kernel.plugin("keyed-routing", ("sender", "telemetry"))
def _build_keyed_routing(built: kernel.Kernel) -> object:
    return _keyed.KeyedRouter(
        _keyed.Dependencies(
            cfg=_settings(built),
            members=built.get("membership", membership.Membership),
            links=built.get("links", peers.Links),
            upstream=built.get("upstream", _upstream.Upstream),
            sender=built.get("sender", _sender.Sender),
            timers=_timers(built),
            counters=_counters(built),
            wire=built.get("wire", _wire.Wire),
        )
    )


@kernel.plugin("routing", ("sender", "keyed-routing", "configuration"))
def _build_routing(built: kernel.Kernel) -> object:
    return _router.Router(
        _router.Dependencies(
            cfg=_settings(built),
            config=built.get("configuration", configuration.ManifestWatcher),
            members=built.get("membership", membership.Membership),
            loads=built.get("loads", membership.PeerLoads),
            health=built.get("health", _health.Health),
            sender=built.get("sender", _sender.Sender),
            keyed=built.get("keyed-routing", _keyed.KeyedRouter),
            timers=_timers(built),
            counters=_counters(built),
            rng=_identity(built).rng,
        )
    )


@kernel.plugin(
    "front", ("routing", "upstream", "inbound", "first-contact", "stop")
)
def _build_front(built: kernel.Kernel) -> object:
    upstream = built.get("upstream", _upstream.Upstream)
    identity = _identity(built)
    timers = _timers(built)
    config = built.get("configuration", configuration.ManifestWatcher)
    bootstrap = built.get("first-contact", _bootstrap.Bootstrap)
    control = _control.Control(
        _control.Dependencies(
            cfg=_settings(built),
            keys=built.get("keys", peers.PeerKeys),
            config=config,
            members=built.get("membership", membership.Membership),
            upstream=upstream,
            counters=_counters(built),
            traffic=built.get("traffic", peers.Traffic),
            query_outcome=built.get(
                "keyed-routing", _keyed.KeyedRouter
            ).query_outcome,
            request_stop=built.get("stop", gevent.event.Event).set,
            add_seed=bootstrap.add_seed,
        )
    )
    return _http_frontend.HttpFrontend(
        _http_frontend.Dependencies(
            cfg=_settings(built),
            config=config,
            entry=_entry.Entry(
                identity.incarnation,
                upstream.in_flight,
                timers,
                identity.next_id,
            ),
            router=built.get("routing", _router.Router),
            control=control,
            timers=timers,
            counters=_counters(built),
            rng=identity.rng,
        )
    )
