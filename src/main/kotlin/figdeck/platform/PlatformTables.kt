package figdeck.platform

/** The table in which operators put the configuration in force. */
internal const val PLAN_TABLE = "op"

/** The table in which upstreams announce themselves, each under its id. */
internal const val UPSTREAM_TABLE = "servers"
