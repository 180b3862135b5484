/** Where a call goes: the version, the upstream, and whether a failed attempt is tried again. */
package org.parsleycart.decision.routing;
