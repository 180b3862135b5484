/** What a daemon tells of itself: counters, spans and events. */
package org.parsleycart.daemon.report;
