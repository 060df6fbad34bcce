package figdeck.platform

/** The table that holds the operators' configuration. */
internal const val PLAN_TABLE = "op"

/** The table in which upstreams register, each under its id. */
internal const val UPSTREAM_TABLE = "servers"
