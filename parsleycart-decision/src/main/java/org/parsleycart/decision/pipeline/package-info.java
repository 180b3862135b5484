/** Requests that arrive on one connection before earlier ones are answered. Depends on nothing. */
package org.parsleycart.decision.pipeline;
