"""Names by which services look each other up."""

from cicadapier._internal.kernel import service

CALLERS = service.ServiceName("callers")
CLAIMS = service.ServiceName("claims")
CLUSTER = service.ServiceName("cluster")
CONFIGURATION = service.ServiceName("configuration")
CONNECTIONS = service.ServiceName("connections")
EXPORTS = service.ServiceName("exports")
LINKS = service.ServiceName("links")
METRICS = service.ServiceName("metrics")
OPERATORS = service.ServiceName("operators")
ORDERS = service.ServiceName("orders")
ORIGINS = service.ServiceName("origins")
PEERS = service.ServiceName("peers")
PLATFORM = service.ServiceName("platform")
QUOTAS = service.ServiceName("quotas")
READINESS = service.ServiceName("readiness")
SHARED_READS = service.ServiceName("shared-reads")
TELEMETRY = service.ServiceName("telemetry")
TRAFFIC = service.ServiceName("traffic")
TUNNELS = service.ServiceName("tunnels")
UPSTREAMS = service.ServiceName("upstreams")
