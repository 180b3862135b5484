/** Control messages between daemons, as values. The link module encodes them. */
package org.parsleycart.decision.message;
