/** The messages that daemons exchange for control, as values; the link module gives them bytes. */
package org.parsleycart.decision.message;
